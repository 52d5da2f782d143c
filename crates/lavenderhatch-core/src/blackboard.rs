//! The blackboard: sections of shared state that controllers read and write.
//!
//! Each section has one writer, which cannot be cloned, and any number of readers. A section is
//! published as an immutable snapshot by read-copy-update, so a reader never waits for the writer.

mod board;
mod section;
mod wake;

pub use board::{Blackboard, Writers};
pub use section::{SectionReader, SectionWriter, section};
pub use wake::WakeReceiver;
