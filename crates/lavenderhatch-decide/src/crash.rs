//! Requests that crash the backend servers that run them.
//!
//! - [`Fingerprint`]: tells requests that ask for the same.

mod fingerprint;

pub use fingerprint::Fingerprint;
