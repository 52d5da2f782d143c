//! Cap'n Proto messages between the daemons of lavenderhatch.
//!
//! `write_*` functions encode borrowed values into a message. `read_*` functions validate a
//! received message and return owned values. A message that exceeds a limit is rejected as a whole.
//!
//! The generated module is committed. `cargo run -p lavenderhatch-wire --example generate_schema`
//! regenerates it from `schema/peer.capnp`, which requires the `capnp` compiler.

mod call;
mod claim;
mod hello;
mod member;
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::unimplemented, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod peer_capnp;
mod scalar;
mod update;

pub use call::{read_call, read_response, write_call, write_response};
pub use claim::{
    read_claim, read_outcome, read_verdict, write_claim, write_outcome, write_verdict,
};
pub use hello::{read_hello, write_hello};
pub use scalar::{MAX_TRAVERSAL_WORDS, WireError, read_digest};
pub use update::{read_update, write_update};
