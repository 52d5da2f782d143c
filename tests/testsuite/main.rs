//! Tests of the programs as separate processes, and of what they do together.

#![allow(clippy::unwrap_used)]

mod orders;
mod support;
mod whole_path;
