//! The slot semaphore under all interleavings of a few threads.

use lavenderhatch_daemon::request::admission_gate::{Acquisition, AtomicWord, SlotSemaphore};
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

/// Maximum number of preemptions in one run. Without a bound, three threads take minutes.
const PREEMPTIONS: usize = 2;

type LoomSemaphore = Arc<SlotSemaphore<LoomWord>>;

fn semaphore(limit: u16) -> LoomSemaphore {
    let initial = SlotSemaphore::<LoomWord>::initial(limit);
    Arc::new(SlotSemaphore::new(LoomWord(AtomicU64::new(initial))))
}

fn assert_empty(semaphore: &LoomSemaphore) {
    assert_eq!(
        (semaphore.state().in_flight, semaphore.state().waiting),
        (0, 0)
    );
}

/// Acquires a slot, checks the limit while it holds it, and releases it. Does not wait for a slot.
fn acquire_and_release(semaphore: &LoomSemaphore, limit: u16) {
    match semaphore.acquire_or_wait() {
        Acquisition::Acquired => {
            assert!(semaphore.state().in_flight <= limit);
            semaphore.release();
        }
        Acquisition::Waiting => semaphore.remove_waiting(),
    }
}

/// Guards against slots that are lost or granted twice when requests acquire and release them
/// concurrently.
#[rstest]
#[case::contended(1, 3)]
#[case::wide(2, 3)]
fn concurrent_requests_keep_limit_and_slots(#[case] limit: u16, #[case] requests: usize) {
    let mut model = Builder::new();
    model.preemption_bound = Some(PREEMPTIONS);
    model.check(move || {
        let semaphore = semaphore(limit);
        let others: Vec<_> = (1..requests)
            .map(|_| {
                let semaphore = Arc::clone(&semaphore);
                thread::spawn(move || acquire_and_release(&semaphore, limit))
            })
            .collect();
        acquire_and_release(&semaphore, limit);
        others.into_iter().for_each(|other| other.join().unwrap());
        assert_empty(&semaphore);
    });
}

/// Guards against a request that waits forever because a release did not report that it waits.
#[test]
fn release_reports_each_waiting_request() {
    loom::model(|| {
        let semaphore = semaphore(1);
        assert_eq!(semaphore.acquire_or_wait(), Acquisition::Acquired);
        let acquiring = Arc::clone(&semaphore);
        let other = thread::spawn(move || acquiring.acquire_or_wait());
        let is_reported = semaphore.release();
        match other.join().unwrap() {
            Acquisition::Acquired => assert!(!is_reported),
            Acquisition::Waiting => {
                assert!(is_reported);
                assert!(semaphore.grant_to_waiting());
            }
        }
        semaphore.release();
        assert_empty(&semaphore);
    });
}

/// Guards against a grant above a limit that is lowered at the same time, and against a change of
/// the limit that overwrites a concurrent acquisition or release.
#[test]
fn grant_keeps_limit_that_changes() {
    loom::model(|| {
        let semaphore = semaphore(1);
        assert_eq!(semaphore.acquire_or_wait(), Acquisition::Acquired);
        assert_eq!(semaphore.acquire_or_wait(), Acquisition::Waiting);
        let releasing = Arc::clone(&semaphore);
        let other = thread::spawn(move || releasing.release());
        semaphore.set_limit(2);
        assert!(semaphore.grant_to_waiting());
        semaphore.set_limit(1);
        assert!(!semaphore.grant_to_waiting());
        other.join().unwrap();
        assert_eq!(semaphore.state().in_flight, 1);
        semaphore.release();
        assert_empty(&semaphore);
    });
}
