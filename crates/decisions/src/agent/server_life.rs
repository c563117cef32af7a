//! One life of an agent's backend server: its clock and lease, the runs there,
//! and the ends that it lists.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    EndKind, EndNumber, LifeId, ListedEnd, RoomSize, RunNews, SchedulerKey, ServerBeat, ServerView,
    StartRefusal, TaskRun,
};

use super::run_table::MAX_CLOCK_DRIFT;

/// Ends in one list at most; a list that is full may leave some out.
const MAX_LISTED_ENDS: usize = 500;
/// A stop, and messages on their way, take less than this.
const LEASE_MARGIN: Duration = Duration::from_millis(150);

/// How far a run is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RunPhase {
    /// Its start was sent.
    Starting,
    /// It was started before the hold after this one was sent.
    Running { since_renewal: u64 },
    /// A stop was sent, or is sent again at a moment.
    Stopping { retry_at: Option<Instant> },
    /// It was stopped or barred before the hold after this one was sent.
    Barred { since_renewal: u64 },
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
pub(super) type OwnedUpdate = (Option<SchedulerKey>, RunNews);

/// An end that its scheduler has yet to record.
#[derive(Debug, Clone)]
struct UnackedEnd {
    end: ListedEnd,
    owner: Option<SchedulerKey>,
}

#[derive(Debug, Clone)]
pub(super) struct ServerLife {
    pub(super) view: ServerView,
    pub(super) address: std::net::SocketAddr,
    pub(super) instance: LifeId,
    pub(super) generation: u64,
    pub(super) sequence: u64,
    /// Its clock at a moment.
    clock: Option<(Duration, Instant)>,
    /// When everything there is surely over unless it is renewed.
    pub(super) lease_expires_at: Option<Instant>,
    /// Whether it has listed its runs since contact was made.
    pub(super) listed: bool,
    pub(super) runs: IndexMap<TaskRun, RunState>,
    unacked: Vec<UnackedEnd>,
    last_end: EndNumber,
    /// Numbers of the holds that wait for an end.
    pub(super) outstanding_renewals: Vec<u64>,
    /// Calls got no answer of late; until this moment more than one hold waits.
    pub(super) hedge_until: Option<Instant>,
    pub(super) renew_at: Instant,
    /// When to ask for the lists besides, without waiting.
    pub(super) query_lists_at: Option<Instant>,
    /// Holds in a row that brought no lists.
    pub(super) failed_renewals: u32,
    pub(super) renewals_sent: u64,
    /// The latest hold whose lists were taken.
    latest_listed_renewal: u64,
}

impl ServerLife {
    pub(super) fn new(now: Instant, beat: &ServerBeat) -> ServerLife {
        ServerLife {
            view: beat.view.clone(),
            address: beat.address,
            instance: beat.instance.clone(),
            generation: beat.born,
            sequence: beat.sequence,
            clock: beat.clock.map(|clock| (clock, now)),
            lease_expires_at: None,
            listed: false,
            runs: IndexMap::new(),
            unacked: Vec::new(),
            last_end: 0,
            outstanding_renewals: Vec::new(),
            hedge_until: None,
            renew_at: now,
            query_lists_at: None,
            failed_renewals: 0,
            renewals_sent: 0,
            latest_listed_renewal: 0,
        }
    }

    pub(super) fn free_capacity(&self) -> RoomSize {
        self.view.room.without(&self.usage_where(|_| true))
    }

    /// Room that the runs of other schedulers take.
    pub(super) fn other_usage(&self, scheduler: &SchedulerKey) -> RoomSize {
        self.usage_where(|run| run.owner.as_ref() != Some(scheduler))
    }

    fn usage_where(&self, counts: impl Fn(&RunState) -> bool) -> RoomSize {
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
        let expires_at = now + lease.mul_f64(1.0 + MAX_CLOCK_DRIFT) + LEASE_MARGIN;
        self.lease_expires_at = self.lease_expires_at.max(Some(expires_at));
        Some(clock + now.saturating_duration_since(at) + lease)
    }

    pub(super) fn is_lease_expired(&self, now: Instant) -> bool {
        self.lease_expires_at.is_some_and(|at| at <= now)
    }

    /// Control has recorded the ends up to this one that concern it.
    pub(super) fn ack_upto(&mut self, upto: EndNumber) {
        self.unacked.retain(|unacked| unacked.end.number > upto);
    }

    /// Ends up to this one concern nobody any more.
    pub(super) fn acked_upto(&self) -> EndNumber {
        self.unacked.first().map_or(self.last_end, |unacked| unacked.end.number - 1)
    }

    /// Ends that a scheduler has yet to record.
    pub(super) fn unacked_of(&self, scheduler: &SchedulerKey) -> Vec<RunNews> {
        let concerns =
            |owner: &Option<SchedulerKey>| owner.as_ref().is_none_or(|owner| owner == scheduler);
        let unacked = self.unacked.iter().filter(|unacked| concerns(&unacked.owner));
        unacked.map(|unacked| update_of(&unacked.end)).collect()
    }

    /// Takes the lists of a hold; gives what is new.
    pub(super) fn take_lists(
        &mut self,
        now: Instant,
        number: u64,
        running: &[TaskRun],
        ended: Vec<ListedEnd>,
    ) -> Vec<OwnedUpdate> {
        let is_full = ended.len() >= MAX_LISTED_ENDS;
        // Answers on different connections may overtake each other.
        let is_latest = number >= self.latest_listed_renewal;
        self.latest_listed_renewal = self.latest_listed_renewal.max(number);
        let mut updates = Vec::new();
        for end in ended {
            if end.number <= self.last_end {
                continue;
            }
            self.last_end = end.number;
            let owner = self.runs.swap_remove(&end.run).and_then(|run| run.owner);
            updates.push((owner.clone(), update_of(&end)));
            // Best-effort jobs need no record of their ends.
            if !matches!(owner, Some(SchedulerKey::Entry(_))) {
                self.unacked.push(UnackedEnd { end, owner });
            }
        }
        if !is_latest {
            return updates;
        }
        for run in running {
            self.runs.entry(run.clone()).or_insert(RunState {
                phase: RunPhase::Running { since_renewal: self.renewals_sent },
                size: RoomSize::default(),
                owner: None,
                since: now,
            });
        }
        if !is_full {
            updates.extend(self.drop_unlisted(number, running));
        }
        updates
    }

    /// A run that the list of a later hold does not show is over, or never
    /// began.
    fn drop_unlisted(&mut self, number: u64, running: &[TaskRun]) -> Vec<OwnedUpdate> {
        let mut updates = Vec::new();
        self.runs.retain(|run, state| {
            if running.contains(run) {
                return true;
            }
            let update = match state.phase {
                RunPhase::Running { since_renewal } if since_renewal < number => {
                    RunNews::Ended { number: 0, run: run.clone(), kind: EndKind::Lapsed }
                }
                RunPhase::Barred { since_renewal } if since_renewal < number => {
                    RunNews::Refused { run: run.clone(), refusal: StartRefusal::Barred }
                }
                _ => return true,
            };
            updates.push((state.owner.clone(), update));
            false
        });
        updates
    }

    pub(super) fn is_hedging(&self, now: Instant) -> bool {
        self.hedge_until.is_some_and(|until| until > now)
    }

    pub(super) fn next_renewal(&mut self) -> u64 {
        self.renewals_sent += 1;
        self.renewals_sent
    }

    /// Everything there is over.
    pub(super) fn take_lapsed(&mut self) -> Vec<OwnedUpdate> {
        let runs = std::mem::take(&mut self.runs).into_iter();
        runs.map(|(run, state)| {
            (state.owner, RunNews::Ended { number: 0, run, kind: EndKind::Lapsed })
        })
        .collect()
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let renewal = self.outstanding_renewals.is_empty().then_some(self.renew_at);
        let retries = self.runs.values().filter_map(|state| match state.phase {
            RunPhase::Stopping { retry_at } => retry_at,
            _ => None,
        });
        [renewal, self.query_lists_at, self.lease_expires_at]
            .into_iter()
            .flatten()
            .chain(retries)
            .min()
    }
}

/// An end as it is reported.
fn update_of(end: &ListedEnd) -> RunNews {
    RunNews::Ended { number: end.number, run: end.run.clone(), kind: end.kind }
}
