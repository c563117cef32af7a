//! One life of an agent's backend server: its clock and lease, the runs there,
//! and the ends that it lists.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{EndKind, EndNumber, LifeId, ListedEnd, RoomSize, RunNews, ServerBeat, ServerView,
    StartRefusal, TaskRun};

use super::run_table::{DRIFT_SHARE, is_new};

/// Ends in one list at most; a list that is full may leave some out.
const FULL_LIST: usize = 500;
/// A stop, and messages on their way, take less than this.
const LAPSE_MARGIN: Duration = Duration::from_millis(150);

/// How far a run is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RunPhase {
    /// Its start was sent.
    Starting,
    /// It was started before the hold after this one was sent.
    Running { since_hold: u64 },
    /// A stop was sent, or is sent again at a moment.
    Stopping { retry_at: Option<Instant> },
    /// It was stopped or barred before the hold after this one was sent.
    Barred { since_hold: u64 },
}

#[derive(Debug, Clone)]
pub(super) struct RunState {
    pub(super) phase: RunPhase,
    pub(super) size: RoomSize,
}

#[derive(Debug, Clone)]
pub(super) struct ServerLife {
    pub(super) view: ServerView,
    pub(super) address: std::net::SocketAddr,
    pub(super) instance: LifeId,
    pub(super) born: u64,
    pub(super) sequence: u64,
    /// Its clock at a moment.
    clock: Option<(Duration, Instant)>,
    /// When everything there is surely over unless it is renewed.
    pub(super) lease_over_at: Option<Instant>,
    /// Whether it has listed its runs since contact was made.
    pub(super) listed: bool,
    pub(super) runs: IndexMap<TaskRun, RunState>,
    /// Ends that are not recorded yet.
    pub(super) unnoted: Vec<ListedEnd>,
    seen: EndNumber,
    pub(super) noted: EndNumber,
    pub(super) hold_out: bool,
    pub(super) hold_at: Instant,
    pub(super) hold_failed: bool,
    pub(super) holds_sent: u64,
}

impl ServerLife {
    pub(super) fn new(now: Instant, beat: &ServerBeat) -> ServerLife {
        ServerLife {
            view: beat.view.clone(),
            address: beat.address,
            instance: beat.instance.clone(),
            born: beat.born,
            sequence: beat.sequence,
            clock: beat.clock.map(|clock| (clock, now)),
            lease_over_at: None,
            listed: false,
            runs: IndexMap::new(),
            unnoted: Vec::new(),
            seen: 0,
            noted: 0,
            hold_out: false,
            hold_at: now,
            hold_failed: false,
            holds_sent: 0,
        }
    }

    pub(super) fn free_room(&self) -> RoomSize {
        let sizes = self.runs.values().map(|run| run.size);
        let taken = sizes.fold(RoomSize::default(), |sum, size| sum.with(&size));
        self.view.room.without(&taken)
    }

    /// Adds a run; one that is known keeps its room.
    pub(super) fn add_run(&mut self, run: TaskRun, size: RoomSize, phase: RunPhase) {
        self.runs
            .entry(run)
            .and_modify(|state| state.phase = phase)
            .or_insert(RunState { phase, size });
    }

    /// The clock's latest reading is the one least off.
    pub(super) fn learn_clock(&mut self, clock: Option<(Duration, Instant)>) {
        if clock.is_some() {
            self.clock = clock;
        }
    }

    /// Lets everything run for `lease` more; gives the end on its clock.
    pub(super) fn extend_lease(&mut self, now: Instant, lease: Duration) -> Option<Duration> {
        if lease.is_zero() {
            return None;
        }
        let (clock, at) = self.clock?;
        let over_at = now + lease.mul_f64(1.0 + DRIFT_SHARE) + LAPSE_MARGIN;
        self.lease_over_at = self.lease_over_at.max(Some(over_at));
        Some(clock + now.saturating_duration_since(at) + lease)
    }

    pub(super) fn has_lapsed(&self, now: Instant) -> bool {
        self.lease_over_at.is_some_and(|at| at <= now)
    }

    /// Ends up to this one are recorded.
    pub(super) fn note_upto(&mut self, upto: EndNumber) {
        self.noted = self.noted.max(upto);
        let noted = self.noted;
        self.unnoted.retain(|end| is_new(end, noted));
    }

    /// Takes the lists of the latest hold; gives what is new.
    pub(super) fn take_lists(
        &mut self,
        running: &[TaskRun],
        ended: Vec<ListedEnd>,
    ) -> Vec<RunNews> {
        let is_full = ended.len() >= FULL_LIST;
        let mut news = Vec::new();
        for end in ended {
            if !is_new(&end, self.seen) {
                continue;
            }
            self.seen = end.number;
            self.runs.swap_remove(&end.run);
            news.push(RunNews::Ended {
                number: end.number,
                run: end.run.clone(),
                kind: end.kind,
            });
            self.unnoted.push(end);
        }
        for run in running {
            let phase = RunPhase::Running { since_hold: self.holds_sent };
            let state = RunState { phase, size: RoomSize::default() };
            self.runs.entry(run.clone()).or_insert(state);
        }
        if !is_full {
            news.extend(self.drop_unlisted(running));
        }
        news
    }

    /// A run that the list of a later hold does not show is over, or never
    /// began.
    fn drop_unlisted(&mut self, running: &[TaskRun]) -> Vec<RunNews> {
        let holds_sent = self.holds_sent;
        let mut news = Vec::new();
        self.runs.retain(|run, state| {
            if running.contains(run) {
                return true;
            }
            match state.phase {
                RunPhase::Running { since_hold } if since_hold < holds_sent => {
                    let kind = EndKind::Lapsed;
                    news.push(RunNews::Ended { number: 0, run: run.clone(), kind });
                    false
                }
                RunPhase::Barred { since_hold } if since_hold < holds_sent => {
                    let refusal = StartRefusal::Barred;
                    news.push(RunNews::Refused { run: run.clone(), refusal });
                    false
                }
                _ => true,
            }
        });
        news
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let hold = (!self.hold_out).then_some(self.hold_at);
        let retries = self.runs.values().filter_map(|state| match state.phase {
            RunPhase::Stopping { retry_at } => retry_at,
            _ => None,
        });
        [hold, self.lease_over_at].into_iter().flatten().chain(retries).min()
    }
}
