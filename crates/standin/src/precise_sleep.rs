//! Sleeps with an error of a fraction of a millisecond. The runtime's own timers
//! round up by a millisecond or more, which would be counted as latency of the
//! system under test.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// Sleepers by due time and a number that tells equal times apart; the next one
/// due is last.
type Sleepers = BTreeMap<Reverse<(Instant, u64)>, oneshot::Sender<()>>;

#[derive(Default)]
struct TimerCore {
    sleepers: Mutex<Sleepers>,
    /// Signalled when a sleeper is added, as it may be due before the others.
    added: Condvar,
}

impl TimerCore {
    fn lock(&self) -> MutexGuard<'_, Sleepers> {
        self.sleepers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes each sleeper when it is due; parks in between.
    fn run(&self) {
        let mut sleepers = self.lock();
        loop {
            let Some(Reverse((due, _))) = sleepers.keys().next_back().copied() else {
                sleepers = self.added.wait(sleepers).unwrap_or_else(PoisonError::into_inner);
                continue;
            };
            let remaining = due.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                if let Some((_, sleeper)) = sleepers.pop_last() {
                    // Fails if the sleep was cancelled.
                    let _cancelled = sleeper.send(());
                }
                continue;
            }
            let waited = self.added.wait_timeout(sleepers, remaining);
            sleepers = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

static TIMER: OnceLock<&'static TimerCore> = OnceLock::new();

/// The timer; its thread is started by the first call and lives as long as the
/// process.
fn timer() -> &'static TimerCore {
    TIMER.get_or_init(|| {
        let core: &'static TimerCore = Box::leak(Box::default());
        std::thread::spawn(|| core.run());
        core
    })
}

/// Sleeps for `pause`, to within a fraction of a millisecond.
pub async fn precise_sleep(pause: Duration) {
    if pause.is_zero() {
        return;
    }
    let (waker, woken) = oneshot::channel();
    let core = timer();
    {
        let mut sleepers = core.lock();
        let due = Instant::now() + pause;
        let mut number = 0;
        while sleepers.contains_key(&Reverse((due, number))) {
            number += 1;
        }
        sleepers.insert(Reverse((due, number)), waker);
    }
    core.added.notify_one();
    // Never fails: the timer's thread keeps the sender until it sends.
    let _woken = woken.await;
}
