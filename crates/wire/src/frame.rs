//! Datagrams exchanged between balancers and agents.

use serde::{Deserialize, Serialize};

use crate::{Body, ConfigVersion, Error, codec};

/// Protocol version supported by this build.
pub const VERSION: u8 = 1;

/// Maximum size of an encoded frame in bytes. Larger frames are refused, not fragmented.
pub const MAX_BYTES: usize = 2_048;

/// One datagram between processes. Every frame carries the sender's config version, so that a
/// process with an older configuration learns of the newer one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<'a> {
    /// Protocol version, always [`VERSION`].
    pub version: u8,
    /// Config version in force at the sender.
    pub config_version: ConfigVersion,
    /// Content of the frame.
    #[serde(borrow)]
    pub body: Body<'a>,
}

impl<'a> Frame<'a> {
    /// Creates a frame from the sender's config version and `body`.
    pub fn new(config_version: ConfigVersion, body: Body<'a>) -> Self {
        Self {
            version: VERSION,
            config_version,
            body,
        }
    }

    /// Encodes the frame into `buffer`, replacing the previous content.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] if the frame exceeds [`MAX_BYTES`], [`Error::Malformed`] if it cannot be
    /// encoded.
    ///
    /// ```
    /// use sassafrasmast_wire::{Body, Frame};
    /// let frame = Frame::new(7, Body::Probe { nonce: 1, agent: 2 });
    /// let mut buffer = Vec::new();
    /// frame.encode(&mut buffer).unwrap();
    /// assert_eq!(Frame::decode(&buffer).unwrap(), frame);
    /// ```
    pub fn encode(&self, buffer: &mut Vec<u8>) -> Result<(), Error> {
        codec::encode(self, buffer, MAX_BYTES)
    }

    /// Decodes one datagram.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`], also for trailing bytes, [`Error::TooLarge`] or [`Error::Version`].
    pub fn decode(bytes: &'a [u8]) -> Result<Self, Error> {
        codec::decode(bytes, VERSION, MAX_BYTES)
    }
}
