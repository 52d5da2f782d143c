//! Tests of the programs as separate processes, and of what they do together.

#![allow(clippy::unwrap_used)]

mod callers;
mod distribution;
mod endpoints;
mod orders;
mod ranks;
mod stops;
mod support;
mod whole_path;
