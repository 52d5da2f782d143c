//! Tests of the decision functions: given inputs and expected decisions.

#![allow(clippy::unwrap_used)]

mod audit;
mod backoff;
mod choose;
mod coalescing_delay;
mod crash;
mod distribution;
mod endpoints;
mod explain;
mod hedged_call;
mod limit;
mod member_fixture;
mod membership;
mod orders;
mod queue;
mod quota;
mod relay;
mod replay;
mod retry;
mod rollout;
mod stops;
mod support;
mod watch_wait;
