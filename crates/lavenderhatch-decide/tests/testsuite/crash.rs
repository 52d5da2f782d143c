//! Requests that crash the backend servers that run them.

mod crash_ledger;
mod fingerprint;
