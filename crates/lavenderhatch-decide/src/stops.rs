//! Planned stops and shutdown signals: when a backend server leaves, and when it has left.

mod departure;
mod evaluate;
mod grant;
mod view;
mod window;

pub use departure::{Departure, evaluate_departure};
pub use evaluate::evaluate_stops;
pub use view::{StopChange, StopsDecision, StopsView};
