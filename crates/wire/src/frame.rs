//! The datagram exchanged between balancers and agents.

use serde::{Deserialize, Serialize};

use crate::{Body, ConfigVersion, Error, codec};

/// Protocol version spoken by this build.
pub const VERSION: u8 = 1;

/// Largest encoded frame in bytes; larger ones are refused rather than fragmented by us.
pub const MAX_BYTES: usize = 2_048;

/// One datagram between processes. Every frame tells the sender's config version, so whoever is
/// behind learns it from whoever is ahead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<'a> {
    /// Protocol version, always [`VERSION`].
    pub version: u8,
    /// Config version in force at the sender.
    pub config: ConfigVersion,
    /// What the frame carries.
    #[serde(borrow)]
    pub body: Body<'a>,
}

impl<'a> Frame<'a> {
    /// Wraps `body` with the sender's config version.
    pub fn new(config: ConfigVersion, body: Body<'a>) -> Self {
        Self {
            version: VERSION,
            config,
            body,
        }
    }

    /// Encodes into `buffer`, replacing its content.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] if the frame exceeds [`MAX_BYTES`].
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
    /// [`Error::Malformed`], [`Error::TooLarge`] or [`Error::Version`]; trailing bytes count as
    /// malformed.
    pub fn decode(bytes: &'a [u8]) -> Result<Self, Error> {
        codec::decode(bytes, VERSION, MAX_BYTES)
    }
}
