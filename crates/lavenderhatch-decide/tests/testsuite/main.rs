//! Tests of the deciding functions: stated situations in, stated outcomes out.

#![allow(clippy::unwrap_used)]

mod audit;
mod endpoints;
mod explain;
mod member_fixture;
mod orders;
mod stops;
