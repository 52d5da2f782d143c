//! Which backend server runs a call.

mod choose;

pub use choose::choose_endpoint;
