//! Tests of the parsers of mesh files and settings.

#![allow(clippy::unwrap_used)]

mod locations;
mod malformed;
