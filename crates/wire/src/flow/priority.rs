//! Priority of a route's requests.

/// Priority of a route's requests; 0 is the most critical.
pub type Priority = u8;
