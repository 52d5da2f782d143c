//! At-most-once execution of orders.

mod execution;
mod members;
mod model;
mod owner;
mod owner_under_test;
mod random;
mod simulation;
mod store;

use rstest::rstest;

use model::Report;
use owner_under_test::SeededFault;
use simulation::Simulation;

/// Number of simulated runs, each with its own seed.
const SEEDS: u64 = 2000;

fn run(seed: u64, fault: SeededFault) -> Report {
    Simulation::new(seed, fault).run()
}

/// Guards against a key whose order runs twice, and against an answer of "not run" for an order
/// that ran or whose claim took effect. The simulation delays, duplicates and loses messages,
/// crashes and pauses daemons at any point, has several owners at once, and lets the platform fail
/// or lose answers.
#[test]
fn keys_run_at_most_once_under_faults() {
    let (mut ran, mut keys) = (0, 0);
    for seed in 0..SEEDS {
        let report = run(seed, SeededFault::None);
        assert!(report.faults.is_empty(), "seed {seed}: {:?}", report.faults);
        ran += report.keys_run;
        keys += report.keys;
    }
    // An implementation that never runs any order would pass the checks above.
    assert!(ran * 2 > keys, "{ran} of {keys} keys ran");
}

/// Guards against a simulation that would not notice a fault: each seeded fault has to be found.
#[rstest]
#[case::grant_before_write(SeededFault::GrantBeforeWrite, "ran 2 times")]
#[case::not_run_after_lost_answer(SeededFault::NotRunAfterLostAnswer, "took effect")]
fn checker_finds_seeded_fault(#[case] fault: SeededFault, #[case] expected: &str) {
    let found = (0..SEEDS).find_map(|seed| {
        let faults = run(seed, fault).faults;
        let fault = faults.into_iter().find(|text| text.contains(expected))?;
        Some((seed, fault))
    });
    let (seed, text) = found.unwrap();
    println!("found by seed {seed}: {text}");
}
