//! End-to-end tests, which run the programs as separate processes.

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
