//! The packed state of the gate under all interleavings of a few threads.

use lavenderhatch_daemon::request::gate::{Acquisition, AtomicWord, SlotSemaphore};
use loom::model::Builder;
use loom::sync::Arc;
use loom::sync::atomic::{AtomicU64, Ordering};
use loom::thread;
use rstest::rstest;

struct LoomWord(AtomicU64);

impl AtomicWord for LoomWord {
    fn get(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    fn replace(&self, current: u64, new: u64) -> Result<(), u64> {
        let swapped = self
            .0
            .compare_exchange(current, new, Ordering::AcqRel, Ordering::Acquire);
        swapped.map(|_| ())
    }
}

/// Switches of threads that one run may hold. Without a bound three threads take minutes.
const PREEMPTIONS: usize = 2;

type LoomGate = Arc<SlotSemaphore<LoomWord>>;

fn gate(limit: u16) -> LoomGate {
    let initial = SlotSemaphore::<LoomWord>::initial(limit);
    Arc::new(SlotSemaphore::new(LoomWord(AtomicU64::new(initial))))
}

fn assert_empty(gate: &LoomGate) {
    assert_eq!((gate.state().in_flight, gate.state().waiting), (0, 0));
}

/// Enters, checks the limit while inside, and leaves. Gives up at once if it must wait.
fn pass(gate: &LoomGate, limit: u16) {
    match gate.acquire_or_wait() {
        Acquisition::Acquired => {
            assert!(gate.state().in_flight <= limit);
            gate.release();
        }
        Acquisition::Waiting => gate.remove_waiting(),
    }
}

/// Guards against slots that are lost or given twice when requests enter and leave together.
#[rstest]
#[case::contended(1, 3)]
#[case::wide(2, 3)]
fn concurrent_requests_keep_limit_and_slots(#[case] limit: u16, #[case] requests: usize) {
    let mut model = Builder::new();
    model.preemption_bound = Some(PREEMPTIONS);
    model.check(move || {
        let gate = gate(limit);
        let others: Vec<_> = (1..requests)
            .map(|_| {
                let gate = Arc::clone(&gate);
                thread::spawn(move || pass(&gate, limit))
            })
            .collect();
        pass(&gate, limit);
        others.into_iter().for_each(|other| other.join().unwrap());
        assert_empty(&gate);
    });
}

/// Guards against a request that waits for ever: whoever leaves while it waits must say so.
#[test]
fn leaving_reports_each_waiting_request() {
    loom::model(|| {
        let gate = gate(1);
        assert_eq!(gate.acquire_or_wait(), Acquisition::Acquired);
        let entering = Arc::clone(&gate);
        let other = thread::spawn(move || entering.acquire_or_wait());
        let is_reported = gate.release();
        match other.join().unwrap() {
            Acquisition::Acquired => assert!(!is_reported),
            Acquisition::Waiting => {
                assert!(is_reported);
                assert!(gate.grant_to_waiting());
            }
        }
        gate.release();
        assert_empty(&gate);
    });
}

/// Guards against a grant above a limit that is lowered at the same time, and against a change of
/// the limit that overwrites a request's entry.
#[test]
fn grant_keeps_limit_that_changes() {
    loom::model(|| {
        let gate = gate(1);
        assert_eq!(gate.acquire_or_wait(), Acquisition::Acquired);
        assert_eq!(gate.acquire_or_wait(), Acquisition::Waiting);
        let leaving = Arc::clone(&gate);
        let other = thread::spawn(move || leaving.release());
        gate.set_limit(2);
        assert!(gate.grant_to_waiting());
        gate.set_limit(1);
        assert!(!gate.grant_to_waiting());
        other.join().unwrap();
        assert_eq!(gate.state().in_flight, 1);
        gate.release();
        assert_empty(&gate);
    });
}
