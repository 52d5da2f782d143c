//! Tests of the deciding functions.

#![allow(clippy::unwrap_used)]

mod orders;
