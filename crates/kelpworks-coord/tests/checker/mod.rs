//! Explicit-state model checker: explores a model's states exhaustively, breadth first.
//!
//! The environment variable `KELPWORKS_MODEL_BOUND` sets the bound, 1 by default. A run with the
//! larger bounds:
//!
//! ```text
//! KELPWORKS_MODEL_BOUND=2 cargo test --release -p kelpworks-coord --test 'model_*' -- --nocapture
//! ```

use std::fmt;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

/// Most states that are explored; a model with more has too large bounds.
const MAX_STATES: usize = 4_000_000;

/// A protocol together with its environment.
pub(crate) trait Model {
    /// State of all processes and their environment.
    type State: Clone + Eq + Hash + Debug;
    /// Transition from one state to another.
    type Step: Copy + Debug;

    fn initial_state(&self) -> Self::State;

    /// Returns every step that is possible in a state.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;

    /// Applies a step to a state.
    fn apply(&self, state: &mut Self::State, step: Self::Step);

    /// Returns an invariant that does not hold in a state.
    fn violated(&self, state: &Self::State) -> Option<&'static str>;
}

/// An invariant that does not hold, with the shortest trace to a state that violates it.
pub(crate) struct Violation {
    pub(crate) invariant: &'static str,
    steps: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} is broken after {} steps:",
            self.invariant,
            self.steps.len()
        )?;
        for (i, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:>4}. {step}", i + 1)?;
        }
        Ok(())
    }
}

/// Returns the number of reachable states, or the first violation.
pub(crate) fn explore<M: Model>(model: &M) -> Result<usize, Violation> {
    let mut states = 0;
    for state in bfs_reach(model.initial_state(), |s| successors(model, s)) {
        states += 1;
        assert!(states <= MAX_STATES, "bounds too large");
        if let Some(invariant) = model.violated(&state) {
            return Err(Violation {
                invariant,
                steps: trace(model, &state),
            });
        }
    }
    Ok(states)
}

fn successor<M: Model>(model: &M, state: &M::State, step: M::Step) -> M::State {
    let mut next = state.clone();
    model.apply(&mut next, step);
    next
}

fn successors<M: Model>(model: &M, state: &M::State) -> Vec<M::State> {
    let steps = model.steps(state).into_iter();
    steps.map(|step| successor(model, state, step)).collect()
}

fn trace<M: Model>(model: &M, end: &M::State) -> Vec<String> {
    let path = bfs(
        &model.initial_state(),
        |s| successors(model, s),
        |s| s == end,
    );
    let path = path.expect("a state that was reached");
    let step = |from: &M::State, to: &M::State| {
        let mut steps = model.steps(from).into_iter();
        steps
            .find(|&step| successor(model, from, step) == *to)
            .map(|step| format!("{step:?}"))
    };
    path.windows(2).filter_map(|w| step(&w[0], &w[1])).collect()
}

/// Asserts that no reachable state violates an invariant, and prints the number of states.
pub(crate) fn assert_holds<M: Model>(name: &str, model: &M) {
    match explore(model) {
        Ok(states) => println!("{name}: {states} states"),
        Err(violation) => panic!("{name}: {violation}"),
    }
}

/// Asserts that the checker finds a violation of this invariant, and prints the trace.
pub(crate) fn assert_caught<M: Model>(name: &str, model: &M, invariant: &str) {
    match explore(model) {
        Ok(states) => panic!("{name}: not caught in {states} states"),
        Err(violation) => {
            println!("{name}: {violation}");
            assert_eq!(violation.invariant, invariant, "{name}: {violation}");
        }
    }
}

/// Returns the bound of `KELPWORKS_MODEL_BOUND`, 1 without it.
pub(crate) fn bound() -> u32 {
    let text = std::env::var("KELPWORKS_MODEL_BOUND");
    text.map_or(1, |t| {
        t.parse().expect("KELPWORKS_MODEL_BOUND is a small number")
    })
}
