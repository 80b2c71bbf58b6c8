//! Parser for the version-independent part of QUIC headers (RFC 8999, RFC 9000 §17).

use sassafrasmast_wire::cid;

use super::{Form, Reason};

/// Minimum size in bytes of a datagram that opens a flow.
const MIN_INITIAL_BYTES: usize = 1_200;

/// Minimum size in bytes of the destination connection id in a packet that opens a flow.
const MIN_INITIAL_CID_BYTES: usize = 8;

/// Maximum size of a connection id in bytes.
const MAX_CID_BYTES: usize = 20;

/// Bit of the first byte that is set in long headers.
const LONG_BIT: u8 = 0x80;

/// Bits of the first byte that hold the packet type in long headers of version 1; 0 is an Initial.
const TYPE_BITS: u8 = 0x30;

/// QUIC version 1.
const VERSION_1: u32 = 1;

/// Version number of Version Negotiation packets, which only servers send.
const VERSION_NEGOTIATION: u32 = 0;

/// Header fields that a balancer reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header<'a> {
    /// Kind of the packet.
    pub form: Form,
    /// Destination connection id.
    pub dcid: &'a [u8],
}

impl<'a> Header<'a> {
    /// Parses the header of the datagram's first packet.
    ///
    /// # Errors
    ///
    /// [`Reason::Truncated`] if the datagram ends within the header; [`Reason::Foreign`] for
    /// version negotiation and for connection ids of more than 20 bytes.
    ///
    /// ```
    /// use sassafrasmast_core::balancer::{Form, Header, Reason};
    /// let header = Header::parse(&[0x40; 30]).unwrap();
    /// assert_eq!((header.form, header.dcid.len()), (Form::Short, 17));
    /// assert_eq!(Header::parse(&[0x40; 3]), Err(Reason::Truncated));
    /// ```
    pub fn parse(datagram: &'a [u8]) -> Result<Self, Reason> {
        let (&first, rest) = datagram.split_first().ok_or(Reason::Truncated)?;
        if first & LONG_BIT == 0 {
            let dcid = rest.get(..cid::BYTES).ok_or(Reason::Truncated)?;
            return Ok(Self {
                form: Form::Short,
                dcid,
            });
        }
        let (version, rest) = rest.split_first_chunk().ok_or(Reason::Truncated)?;
        let (&length, rest) = rest.split_first().ok_or(Reason::Truncated)?;
        let length = usize::from(length);
        let version = u32::from_be_bytes(*version);
        if version == VERSION_NEGOTIATION || length > MAX_CID_BYTES {
            return Err(Reason::Foreign);
        }
        let dcid = rest.get(..length).ok_or(Reason::Truncated)?;
        let initial = version != VERSION_1 || first & TYPE_BITS == 0;
        let opens = datagram.len() >= MIN_INITIAL_BYTES && length >= MIN_INITIAL_CID_BYTES;
        let form = if initial && opens {
            Form::Initial
        } else {
            Form::Long
        };
        Ok(Self { form, dcid })
    }
}
