//! The platform's key-value store, behind the [`Store`] trait.
//!
//! [`Etcd`] is the implementation: a client of the etcd v3 API through its HTTP/JSON gateway.

mod etcd;

pub use sassafrasmast_store::*;

pub use self::etcd::Etcd;
