//! Sleeps that end within a fraction of a millisecond: the runtime's own
//! timers round up by a millisecond or more, which would count against the
//! system that is measured.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// Sleepers by when they are due, the next one last.
type Sleepers = BTreeMap<Reverse<(Instant, u64)>, oneshot::Sender<()>>;

#[derive(Default)]
struct TimerCore {
    sleepers: Mutex<Sleepers>,
    earlier: Condvar,
}

impl TimerCore {
    fn lock(&self) -> MutexGuard<'_, Sleepers> {
        self.sleepers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes sleepers in turn; parks until the next is due.
    fn run(&self) {
        let mut sleepers = self.lock();
        loop {
            let Some(Reverse((due, _))) = sleepers.keys().next_back().copied() else {
                sleepers = self.earlier.wait(sleepers).unwrap_or_else(PoisonError::into_inner);
                continue;
            };
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                if let Some((_, sleeper)) = sleepers.pop_last() {
                    // A sleeper that was given up needs no waking.
                    let _gone = sleeper.send(());
                }
                continue;
            }
            let waited = self.earlier.wait_timeout(sleepers, left);
            sleepers = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

static TIMER: OnceLock<&'static TimerCore> = OnceLock::new();

/// The timer's thread lives as long as the process.
fn timer() -> &'static TimerCore {
    TIMER.get_or_init(|| {
        let core: &'static TimerCore = Box::leak(Box::default());
        std::thread::spawn(|| core.run());
        core
    })
}

/// Sleeps for `pause`, and hardly longer.
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
    core.earlier.notify_one();
    // The timer's thread never ends before its sleepers.
    let _woken = woken.await;
}
