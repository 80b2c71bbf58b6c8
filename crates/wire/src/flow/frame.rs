//! The datagram exchanged between balancers and agents of flow forwarding.

use serde::{Deserialize, Serialize};

use super::{Body, Revision};
use crate::{Error, codec};

/// Protocol version of this build. Differs from [`crate::frame::VERSION`], so that neither
/// transport accepts the other's frames.
pub const VERSION: u8 = 65;

/// Maximum size of an encoded frame in bytes: a full packet with its head and the frame's own
/// fields, below the usual MTU of 1,500.
pub const MAX_BYTES: usize = 1_472;

/// One datagram between processes. Each carries the sender's revision of the operators' intent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<'a> {
    /// Protocol version, always [`VERSION`].
    pub version: u8,
    /// Revision in force at the sender, 0 if none.
    pub revision: Revision,
    /// What the frame carries.
    #[serde(borrow)]
    pub body: Body<'a>,
}

impl<'a> Frame<'a> {
    /// Wraps `body` with the sender's revision.
    pub fn new(revision: Revision, body: Body<'a>) -> Self {
        Self {
            version: VERSION,
            revision,
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
    /// use sassafrasmast_wire::flow::{Body, Frame};
    /// let frame = Frame::new(7, Body::Probe { sent: 0 });
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
