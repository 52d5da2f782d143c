//! Tests of the programs as separate processes, and of what they do together.

#![allow(clippy::unwrap_used)]

mod callers;
mod distribution;
mod end_to_end;
mod endpoints;
mod guide;
mod orders;
mod ranks;
mod stops;
mod support;
mod tool;
