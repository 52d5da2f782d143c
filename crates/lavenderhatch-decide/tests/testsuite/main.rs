//! Tests of the deciding functions: stated situations in, stated outcomes out.

#![allow(clippy::unwrap_used)]

mod distribution;
mod endpoints;
mod member_fixture;
mod membership;
mod orders;
mod stops;
mod support;
