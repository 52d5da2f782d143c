//! Requests that crash the backend servers that run them.

mod fingerprint;
