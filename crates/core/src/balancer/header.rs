//! The version-independent part of a QUIC header (RFC 8999, RFC 9000 §17).

use sassafrasmast_wire::cid;

use super::{Form, Reason};

/// Smallest datagram in bytes that may open a flow.
const MIN_INITIAL_BYTES: usize = 1_200;

/// Smallest connection id in bytes of a first datagram.
const MIN_INITIAL_CID_BYTES: usize = 8;

/// Largest connection id in bytes.
const MAX_CID_BYTES: usize = 20;

/// Set in the first byte of long headers.
const LONG_BIT: u8 = 0x80;

/// Bits of the first byte that tell the type of a long header of version 1.
const TYPE_BITS: u8 = 0x30;

/// QUIC version 1.
const VERSION_1: u32 = 1;

/// Reserved for version negotiation, which only servers send.
const VERSION_NEGOTIATION: u32 = 0;

/// What a balancer reads of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header<'a> {
    /// Kind of packet.
    pub form: Form,
    /// Destination connection id.
    pub dcid: &'a [u8],
}

impl<'a> Header<'a> {
    /// Reads the header of the datagram's first packet.
    ///
    /// # Errors
    ///
    /// [`Reason::Truncated`] or [`Reason::Foreign`].
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
