//! Cap'n Proto messages between the daemons of lavenderhatch.
//!
//! `write_*` functions fill a message from borrowed values, `read_*` functions check a received
//! message and give owned values. A message that breaks a limit is an error; nothing of it is used.
//!
//! The generated module is committed. `cargo run -p lavenderhatch-wire --example generate_schema`
//! makes it anew from `schema/peer.capnp` and needs the `capnp` compiler.

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
