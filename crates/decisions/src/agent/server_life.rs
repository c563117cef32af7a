//! One life of an agent's backend server: its clock and lease, the runs there,
//! and the ends that it lists.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    EndKind, EndNumber, LifeId, ListedEnd, RoomSize, RunNews, SchedulerKey, ServerBeat, ServerView,
    StartRefusal, TaskRun,
};

use super::run_table::DRIFT_SHARE;

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
    /// The scheduler whose run it is; `None` when this agent was started
    /// after the run and nobody has claimed it.
    pub(super) owner: Option<SchedulerKey>,
    pub(super) since: Instant,
}

/// News about a run, and whom they are for.
pub(super) type OwnedNews = (Option<SchedulerKey>, RunNews);

/// An end that its scheduler has yet to record.
#[derive(Debug, Clone)]
struct UnnotedEnd {
    end: ListedEnd,
    owner: Option<SchedulerKey>,
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
    unnoted: Vec<UnnotedEnd>,
    seen: EndNumber,
    /// Numbers of the holds that wait for an end.
    pub(super) holds_out: Vec<u64>,
    /// Calls got no answer of late; until this moment more than one hold waits.
    pub(super) unsure_until: Option<Instant>,
    pub(super) hold_at: Instant,
    /// When to ask for the lists besides, without waiting.
    pub(super) look_at: Option<Instant>,
    /// Holds in a row that brought no lists.
    pub(super) holds_failed: u32,
    pub(super) holds_sent: u64,
    /// The latest hold whose lists were taken.
    latest_lists: u64,
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
            holds_out: Vec::new(),
            unsure_until: None,
            hold_at: now,
            look_at: None,
            holds_failed: 0,
            holds_sent: 0,
            latest_lists: 0,
        }
    }

    pub(super) fn free_room(&self) -> RoomSize {
        self.view.room.without(&self.room_of(|_| true))
    }

    /// Room that the runs of other schedulers take.
    pub(super) fn others_room(&self, scheduler: &SchedulerKey) -> RoomSize {
        self.room_of(|run| run.owner.as_ref() != Some(scheduler))
    }

    fn room_of(&self, counts: impl Fn(&RunState) -> bool) -> RoomSize {
        let runs = self.runs.values().filter(|run| counts(run));
        runs.fold(RoomSize::default(), |sum, run| sum.with(&run.size))
    }

    /// Runs of a scheduler.
    pub(super) fn runs_of(&self, scheduler: Option<&SchedulerKey>) -> Vec<TaskRun> {
        let owned = self.runs.iter().filter(|(_, run)| run.owner.as_ref() == scheduler);
        owned.map(|(run, _)| run.clone()).collect()
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

    /// Control has recorded the ends up to this one that concern it.
    pub(super) fn note_upto(&mut self, upto: EndNumber) {
        self.unnoted.retain(|unnoted| unnoted.end.number > upto);
    }

    /// Ends up to this one concern nobody any more.
    pub(super) fn noted(&self) -> EndNumber {
        self.unnoted.first().map_or(self.seen, |unnoted| unnoted.end.number - 1)
    }

    /// Ends that a scheduler has yet to record.
    pub(super) fn unnoted_of(&self, scheduler: &SchedulerKey) -> Vec<RunNews> {
        let concerns =
            |owner: &Option<SchedulerKey>| owner.as_ref().is_none_or(|owner| owner == scheduler);
        let unnoted = self.unnoted.iter().filter(|unnoted| concerns(&unnoted.owner));
        unnoted.map(|unnoted| news_of(&unnoted.end)).collect()
    }

    /// Takes the lists of a hold; gives what is new.
    pub(super) fn take_lists(
        &mut self,
        now: Instant,
        number: u64,
        running: &[TaskRun],
        ended: Vec<ListedEnd>,
    ) -> Vec<OwnedNews> {
        let is_full = ended.len() >= FULL_LIST;
        // Answers on different connections may overtake each other.
        let is_latest = number >= self.latest_lists;
        self.latest_lists = self.latest_lists.max(number);
        let mut news = Vec::new();
        for end in ended {
            if end.number <= self.seen {
                continue;
            }
            self.seen = end.number;
            let owner = self.runs.swap_remove(&end.run).and_then(|run| run.owner);
            news.push((owner.clone(), news_of(&end)));
            // Best-effort jobs need no record of their ends.
            if !matches!(owner, Some(SchedulerKey::Entry(_))) {
                self.unnoted.push(UnnotedEnd { end, owner });
            }
        }
        if !is_latest {
            return news;
        }
        for run in running {
            self.runs.entry(run.clone()).or_insert(RunState {
                phase: RunPhase::Running { since_hold: self.holds_sent },
                size: RoomSize::default(),
                owner: None,
                since: now,
            });
        }
        if !is_full {
            news.extend(self.drop_unlisted(number, running));
        }
        news
    }

    /// A run that the list of a later hold does not show is over, or never
    /// began.
    fn drop_unlisted(&mut self, number: u64, running: &[TaskRun]) -> Vec<OwnedNews> {
        let mut news = Vec::new();
        self.runs.retain(|run, state| {
            if running.contains(run) {
                return true;
            }
            let what = match state.phase {
                RunPhase::Running { since_hold } if since_hold < number => {
                    RunNews::Ended { number: 0, run: run.clone(), kind: EndKind::Lapsed }
                }
                RunPhase::Barred { since_hold } if since_hold < number => {
                    RunNews::Refused { run: run.clone(), refusal: StartRefusal::Barred }
                }
                _ => return true,
            };
            news.push((state.owner.clone(), what));
            false
        });
        news
    }

    pub(super) fn is_unsure(&self, now: Instant) -> bool {
        self.unsure_until.is_some_and(|until| until > now)
    }

    pub(super) fn next_hold(&mut self) -> u64 {
        self.holds_sent += 1;
        self.holds_sent
    }

    /// Everything there is over.
    pub(super) fn take_lapsed(&mut self) -> Vec<OwnedNews> {
        let runs = std::mem::take(&mut self.runs).into_iter();
        runs.map(|(run, state)| {
            (state.owner, RunNews::Ended { number: 0, run, kind: EndKind::Lapsed })
        })
        .collect()
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let hold = self.holds_out.is_empty().then_some(self.hold_at);
        let retries = self.runs.values().filter_map(|state| match state.phase {
            RunPhase::Stopping { retry_at } => retry_at,
            _ => None,
        });
        [hold, self.look_at, self.lease_over_at].into_iter().flatten().chain(retries).min()
    }
}

/// An end as it is reported.
fn news_of(end: &ListedEnd) -> RunNews {
    RunNews::Ended { number: end.number, run: end.run.clone(), kind: end.kind }
}
