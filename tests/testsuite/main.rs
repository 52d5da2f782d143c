//! Tests of the programs as separate processes, and of what they do together.

#![allow(clippy::unwrap_used)]

mod callers;
mod distribution;
mod endpoints;
mod guide;
mod orders;
mod ranks;
mod stops;
mod support;
mod tool;
mod whole_path;
