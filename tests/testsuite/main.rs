//! Tests of the programs as separate processes, and of what they do together.

#![allow(clippy::unwrap_used)]

mod callers;
mod endpoints;
mod guide;
mod orders;
mod stops;
mod support;
mod tool;
mod whole_path;
