//! Tests of the programs as separate processes, and of what they do together.

#![allow(clippy::unwrap_used)]

mod callers;
mod endpoints;
mod orders;
mod stops;
mod demo;
mod guide;
mod support;
mod tool;
mod whole_path;
