//! Explicit-state model checker that visits all states of a model, breadth first.

use std::fmt;
use std::hash::Hash;

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A model: its states, the steps between them, and the safety property.
pub(crate) trait Model {
    type State: Clone + Eq + Hash + fmt::Debug;

    fn initial(&self) -> Self::State;

    fn next(&self, state: &Self::State) -> Vec<Self::State>;

    /// The safety violation in a state, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// The shortest path to a state that violates the safety property.
#[derive(Debug)]
pub(crate) struct Counterexample {
    pub(crate) violation: &'static str,
    states: Vec<String>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} after {} steps",
            self.violation,
            self.states.len() - 1
        )?;
        self.states
            .iter()
            .try_for_each(|state| writeln!(f, "  {state}"))
    }
}

/// Visits all states and returns their number, or the shortest path to a violation.
pub(crate) fn check<M: Model>(model: &M) -> Result<usize, Counterexample> {
    let next = |state: &M::State| model.next(state);
    let found = bfs(&model.initial(), next, |state| {
        model.violation(state).is_some()
    });
    let Some(path) = found else {
        return Ok(bfs_reach(model.initial(), next).count());
    };
    let violation = path
        .last()
        .and_then(|state| model.violation(state))
        .unwrap_or("unknown");
    let states = path.iter().map(|state| format!("{state:?}")).collect();
    Err(Counterexample { violation, states })
}
