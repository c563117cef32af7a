//! Owns the state of one life of an agent's backend server, that is one lifetime
//! of its process: its clock and lease, its runs, and the ends that it lists.
//!
//! Invariants:
//! - the numbers of ends rise; each end is taken once;
//! - ends are acknowledged cumulatively, up to the first one that its scheduler
//!   has not recorded;
//! - the lease is not extended beyond the contact: a backend server that answers no
//!   call is lost, however many are sent, and its runs are over once the lease that the
//!   calls before may have given it has expired;
//! - nor is it extended for runs that an earlier process of the agent started, before a
//!   scheduler has claimed them: they end with the lease that it gave them.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    EndKind, EndNumber, LifeId, ListedEnd, QueueId, ResourceAmount, RunUpdate, SchedulerKey,
    ServerAnswer, ServerHeartbeat, ServerView, SpeedReport, StartRefusal, TaskRun,
};

use super::kind_samples::{KindSamples, PresenceMark};
use super::run_table::RunLimits;
use super::server_speed::{RunTime, ServerSpeed};
use super::start_queue::StartQueue;
use super::start_resends::StartResends;
use crate::run_bounds::MAX_CLOCK_DRIFT_RATIO;

/// Maximum number of ends in one list; a full list may be incomplete.
const MAX_LISTED_ENDS: usize = 500;
/// Maximum step from the latest end that was taken, or from the lowest end of the first
/// list, to the number of a listed end. One beyond it is not taken: it would bar all
/// true ends up to it, and acknowledge them unseen.
const MAX_END_STEP: EndNumber = 1_000_000;
/// Time without an extension, as a share of a full lease, after which the end of a lease is
/// awaited; usually it is extended sooner.
const USUAL_RENEWAL_SHARE: f64 = 0.5;
/// Time after the end of the lease that is allowed for stopping runs and for
/// messages in flight; both together take less.
const LEASE_MARGIN: Duration = Duration::from_millis(150);

/// Phase of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RunPhase {
    /// The start waits for free capacity, or for a valid grant, and was not sent.
    Waiting,
    /// The start was sent and is not answered yet.
    Starting,
    /// Started. The lists of lease renewals with a higher number than this show
    /// the run or its end.
    Running { since_renewal: u64 },
    /// A stop is in flight, or is retried at this time.
    Stopping { retry_at: Option<Instant> },
    /// The backend server confirmed the stop: a run that had not started is
    /// barred from starting, a started one ends soon. If the lists of a lease
    /// renewal with a higher number than this show neither the run nor its end,
    /// it never started.
    Barred { since_renewal: u64 },
}

impl RunPhase {
    /// Whether the run needs its scheduler's grant, to start or to stay active.
    pub(super) fn needs_grant(self) -> bool {
        self == RunPhase::Waiting || self.is_active()
    }

    /// Whether the run may be active at the backend server.
    pub(super) fn may_be_active(self) -> bool {
        match self {
            RunPhase::Starting | RunPhase::Running { .. } | RunPhase::Stopping { .. } => true,
            RunPhase::Waiting | RunPhase::Barred { .. } => false,
        }
    }

    /// Whether the run is stopped once its scheduler's grant expires.
    pub(super) fn is_active(self) -> bool {
        match self {
            RunPhase::Starting | RunPhase::Running { .. } => true,
            RunPhase::Waiting | RunPhase::Stopping { .. } | RunPhase::Barred { .. } => false,
        }
    }
}

/// What an order says of each of its runs.
#[derive(Debug, Clone)]
pub(super) struct RunDemand {
    /// Resources that the run takes.
    pub(super) size: ResourceAmount,
    /// Estimated run time, if the order has one.
    pub(super) estimate: Option<Duration>,
    /// Queue of the job, if the order has one.
    pub(super) queue: Option<QueueId>,
}

/// A run that may be active.
#[derive(Debug, Clone)]
pub(super) struct RunState {
    pub(super) phase: RunPhase,
    /// Resources that the run takes; zero if it is known only from a list.
    pub(super) size: ResourceAmount,
    /// Estimated run time, if its order has one and it was started in this life.
    pub(super) estimate: Option<Duration>,
    /// Queue of the job, if its order has one.
    queue: Option<QueueId>,
    /// The kinds that were active so far when it started, if it is to be compared.
    presence: Option<PresenceMark>,
    /// Scheduler that ordered the run; `None` if this agent was restarted since
    /// and no scheduler has claimed it.
    pub(super) owner: Option<SchedulerKey>,
    /// Time at which the start was ordered or the run was first listed.
    pub(super) ordered_at: Instant,
    /// Time at which the start was sent, or else the same.
    pub(super) since: Instant,
    /// Whether the start was sent more than once: then the refusal of one does not say that
    /// another was not, or will not be, carried out.
    pub(super) is_resent: bool,
}

impl RunState {
    /// A run whose start was ordered now.
    pub(super) fn waiting(
        now: Instant,
        owner: Option<SchedulerKey>,
        demand: RunDemand,
    ) -> RunState {
        let RunDemand { size, estimate, queue } = demand;
        let phase = RunPhase::Waiting;
        let (ordered_at, since) = (now, now);
        let (presence, is_resent) = (None, false);
        RunState { phase, size, estimate, queue, presence, owner, ordered_at, since, is_resent }
    }

    /// Run time so far; `None` if the start was not sent or the run has no estimate.
    fn run_time(&self, now: Instant) -> Option<RunTime> {
        let ran = now.saturating_duration_since(self.since);
        let estimate = self.estimate.filter(|_| self.phase != RunPhase::Waiting)?;
        Some(RunTime { ran, estimate })
    }
}

/// Update about a run and the scheduler it is for; `None` for all schedulers.
pub(super) type OwnedUpdate = (Option<SchedulerKey>, RunUpdate);

/// End of a run that is not acknowledged as recorded yet.
#[derive(Debug, Clone)]
pub(super) struct UnackedEnd {
    number: EndNumber,
    update: RunUpdate,
    pub(super) owner: Option<SchedulerKey>,
    pub(super) listed_at: Instant,
    /// Whether the lease has expired since: the end does not count any more if control has
    /// given the run up.
    is_void: bool,
}

impl UnackedEnd {
    /// Whether another run of the task must not start while the end counts.
    fn is_binding(&self) -> bool {
        let RunUpdate::Ended { kind, .. } = &self.update else { return false };
        !self.is_void && matches!(kind, EndKind::Done | EndKind::Failed)
    }
}

/// One lifetime of a backend server's process.
#[derive(Debug, Clone)]
pub(super) struct ServerLife {
    pub(super) view: ServerView,
    pub(super) address: std::net::SocketAddr,
    pub(super) instance: LifeId,
    /// Orders the lives of the instance; late heartbeats of earlier ones are ignored.
    pub(super) generation: u64,
    /// Sequence number of the latest heartbeat that was taken, and its arrival.
    pub(super) sequence: u64,
    pub(super) heartbeat_at: Instant,
    /// Reading of the backend server's clock, and the local time it belongs to.
    clock: Option<(Duration, Instant)>,
    /// Time from which the backend server counts as silent, unless it answers a call
    /// before; `None` while all calls are answered.
    silent_from: Option<Instant>,
    /// Time at which the lease has expired, with the margins for clock drift and
    /// stops, so that no run is active any more unless it is renewed.
    pub(super) lease_expires_at: Option<Instant>,
    /// End of the longest lease that a call has given, without these margins.
    pub(super) lease_until: Option<Instant>,
    /// Whether it has listed its runs since contact began or the lease expired.
    pub(super) listed: bool,
    /// Whether it has said that it leaves. Its process ends soon, or some seconds later if
    /// the acknowledgement was lost; until then its runs may go on.
    pub(super) has_left: bool,
    /// Whether the latest call found no process listening.
    pub(super) refuses_connections: bool,
    pub(super) runs: IndexMap<TaskRun, RunState>,
    pub(super) start_queue: StartQueue,
    /// Starts without an answer, which may be sent again.
    pub(super) start_resends: StartResends,
    unacked: Vec<UnackedEnd>,
    /// Highest number of an end that was taken from a list.
    last_end: EndNumber,
    /// Numbers of the lease renewals that wait at the server for an end.
    pub(super) outstanding_renewals: Vec<u64>,
    /// Time until which renewals are hedged, since a call got no answer.
    pub(super) hedge_until: Option<Instant>,
    /// Time at which the next lease renewal is due.
    pub(super) renew_at: Instant,
    /// Time at which to query the lists in addition, with a renewal that does not
    /// wait for an end.
    pub(super) query_lists_at: Option<Instant>,
    /// Time at which to renew the lease ahead of the next renewal.
    pub(super) renew_early_at: Option<Instant>,
    /// Consecutive renewals that failed to return lists.
    pub(super) failed_renewals: u32,
    pub(super) renewals_sent: u64,
    /// Number of the latest renewal whose lists were taken.
    latest_listed_renewal: u64,
    /// Whether rows of the latest lists could not be decoded.
    lists_partial: bool,
    /// Speed of the server, if it is to be learned.
    speed: Option<ServerSpeed>,
    /// Time at which a run counts as overdue for the speed.
    overdue_at: Option<Instant>,
    /// Comparisons of the kinds of tasks that run there, if they are to be learned.
    kinds: Option<KindSamples>,
}

impl ServerLife {
    pub(super) fn new(now: Instant, heartbeat: &ServerHeartbeat, limits: &RunLimits) -> ServerLife {
        ServerLife {
            view: heartbeat.view.clone(),
            address: heartbeat.address,
            instance: heartbeat.instance.clone(),
            generation: heartbeat.generation,
            sequence: heartbeat.sequence,
            heartbeat_at: now,
            clock: heartbeat.clock.map(|clock| (clock, now)),
            silent_from: None,
            lease_expires_at: None,
            lease_until: None,
            listed: false,
            has_left: false,
            refuses_connections: false,
            runs: IndexMap::new(),
            start_queue: StartQueue::default(),
            start_resends: StartResends::default(),
            unacked: Vec::new(),
            last_end: 0,
            outstanding_renewals: Vec::new(),
            hedge_until: None,
            renew_at: now,
            query_lists_at: None,
            renew_early_at: None,
            failed_renewals: 0,
            renewals_sent: 0,
            latest_listed_renewal: 0,
            lists_partial: false,
            speed: limits.speed_reports.then(|| ServerSpeed::new(now)),
            overdue_at: None,
            kinds: limits.interference.then(|| KindSamples::new(now)),
        }
    }

    /// Takes what a later heartbeat of this life says; `true` if it is news.
    pub(super) fn take_heartbeat(&mut self, now: Instant, heartbeat: &ServerHeartbeat) -> bool {
        self.sequence = heartbeat.sequence;
        self.heartbeat_at = now;
        self.address = heartbeat.address;
        let changed = self.view != heartbeat.view;
        self.view = heartbeat.view.clone();
        changed
    }

    pub(super) fn free_capacity(&self) -> ResourceAmount {
        let usage = self.usage_where(|run| run.phase != RunPhase::Waiting);
        self.view.capacity.saturating_sub(&usage)
    }

    /// Resources taken by the runs of other schedulers, or wanted by their waiting
    /// starts.
    pub(super) fn other_usage(&self, scheduler: &SchedulerKey) -> ResourceAmount {
        self.usage_where(|run| run.owner.as_ref() != Some(scheduler))
    }

    fn usage_where(&self, counts: impl Fn(&RunState) -> bool) -> ResourceAmount {
        let runs = self.runs.values().filter(|run| counts(run));
        runs.fold(ResourceAmount::default(), |sum, run| sum.with(&run.size))
    }

    /// Runs of a scheduler, or unclaimed runs for `None`.
    pub(super) fn runs_of(&self, scheduler: Option<&SchedulerKey>) -> Vec<TaskRun> {
        let owned = self.runs.iter().filter(|(_, run)| run.owner.as_ref() == scheduler);
        owned.map(|(run, _)| run.clone()).collect()
    }

    /// Whether there are runs that may be active and that no scheduler has claimed.
    pub(super) fn has_unclaimed_runs(&self) -> bool {
        self.runs.values().any(|run| run.owner.is_none() && run.phase.may_be_active())
    }

    /// Whether a scheduler awaits the end of other runs of this run's step here.
    pub(super) fn has_runs_of(&self, owner: Option<&SchedulerKey>, ended: &TaskRun) -> bool {
        self.runs.iter().any(|(run, state)| {
            let is_awaited = state.phase.needs_grant() && state.owner.as_ref() == owner;
            let (task, ended) = (&run.task, &ended.task);
            let same_step = task.job == ended.job && task.step == ended.step;
            is_awaited && same_step && task != ended
        })
    }

    /// Replaces the clock reading; the latest one has drifted least.
    pub(super) fn update_clock(&mut self, clock: Option<(Duration, Instant)>) {
        if clock.is_some() {
            self.clock = clock;
        }
    }

    /// Records whether a call was answered. After calls have gone unanswered for
    /// `max_silence`, the backend server counts as silent.
    pub(super) fn record_contact(
        &mut self,
        now: Instant,
        answer: &ServerAnswer,
        max_silence: Duration,
    ) {
        self.refuses_connections = *answer == ServerAnswer::ConnectionRefused;
        match is_contact(answer) {
            true => self.silent_from = None,
            false => _ = self.silent_from.get_or_insert(now + max_silence),
        }
    }

    /// Whether the process that has left is known to have ended: it listens no more, and holds
    /// no renewal open either.
    pub(super) fn is_process_gone(&self) -> bool {
        self.has_left && self.refuses_connections && self.outstanding_renewals.is_empty()
    }

    /// Whether the backend server has answered no call for so long that its lease is not
    /// extended any more.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        self.silent_from.is_some_and(|from| from <= now)
    }

    /// Extends the lease by `lease` from now. Returns the expiry on the backend
    /// server's clock; `None` if its clock is unknown or `lease` is zero.
    pub(super) fn extend_lease(&mut self, now: Instant, lease: Duration) -> Option<Duration> {
        if lease.is_zero() {
            return None;
        }
        let (clock, at) = self.clock?;
        let expires_at = now + lease.mul_f64(1.0 + MAX_CLOCK_DRIFT_RATIO) + LEASE_MARGIN;
        self.lease_expires_at = self.lease_expires_at.max(Some(expires_at));
        self.lease_until = self.lease_until.max(Some(now + lease));
        Some(clock + now.saturating_duration_since(at) + lease)
    }

    /// Whether there are active runs, and calls can extend their lease.
    pub(super) fn can_renew_runs(&self) -> bool {
        self.clock.is_some() && self.runs.values().any(|run| run.phase.is_active())
    }

    /// Time at which no run is active any more, and the lists are out of date: the end of
    /// the lease, or without one the beginning of a silence.
    pub(super) fn lapses_at(&self) -> Option<Instant> {
        self.lease_expires_at.or(self.silent_from.filter(|_| self.listed))
    }

    /// Time from which the end of the lease is awaited, if it matters: there are runs, or ends
    /// that count, or a call was not answered. `lease` is a full one.
    pub(super) fn lapse_awaited_from(&self, now: Instant, lease: Duration) -> Option<Instant> {
        self.lapses_at()?;
        if self.silent_from.is_some() {
            return Some(now);
        }
        let is_idle = self.runs.is_empty() && self.binding_ends().next().is_none();
        let until = self.lease_until.filter(|_| !is_idle)?;
        Some(until.checked_sub(lease.mul_f64(USUAL_RENEWAL_SHARE)).unwrap_or(now))
    }

    /// Takes into account that the backend server may have stood still for this time up to
    /// now: its lease lasts longer, and its clock may be behind.
    pub(super) fn put_off_lapse(&mut self, now: Instant, pause: Duration) {
        for end in [&mut self.lease_expires_at, &mut self.silent_from].into_iter().flatten() {
            *end += pause;
        }
        if let Some((_, at)) = &mut self.clock {
            *at = (*at + pause).min(now);
        }
    }

    /// Handles a cumulative acknowledgement: control has recorded its ends up to
    /// this number. Returns whether that is news.
    pub(super) fn ack_upto(&mut self, upto: EndNumber) -> bool {
        let before = self.unacked.len();
        self.unacked.retain(|unacked| unacked.number > upto);
        self.unacked.len() < before
    }

    /// The unacknowledged ends that count once they are acknowledged.
    pub(super) fn binding_ends(&self) -> impl Iterator<Item = &UnackedEnd> {
        self.unacked.iter().filter(|end| end.is_binding())
    }

    /// Records that the lease has expired, which voids the unacknowledged ends.
    pub(super) fn void_ends(&mut self) {
        self.unacked.iter_mut().for_each(|end| end.is_void = true);
    }

    /// Number up to which all ends are acknowledged and may be dropped.
    pub(super) fn last_acked_end(&self) -> EndNumber {
        self.unacked.first().map_or(self.last_end, |unacked| unacked.number - 1)
    }

    /// Unacknowledged ends of a scheduler's runs and of unclaimed runs.
    pub(super) fn unacked_of(&self, scheduler: &SchedulerKey) -> Vec<RunUpdate> {
        let concerns =
            |owner: &Option<SchedulerKey>| owner.as_ref().is_none_or(|owner| owner == scheduler);
        let unacked = self.unacked.iter().filter(|unacked| concerns(&unacked.owner));
        unacked.map(|unacked| unacked.update.clone()).collect()
    }

    /// The listed ends whose numbers are plausible, in their order.
    pub(super) fn plausible_ends(&self, mut ended: Vec<ListedEnd>) -> Vec<ListedEnd> {
        ended.sort_by_key(|end| end.number);
        let first = ended.first().map_or(0, |end| end.number);
        let base = if self.last_end == 0 { first } else { self.last_end };
        ended.retain(|end| end.number <= base.saturating_add(MAX_END_STEP));
        ended
    }

    /// Takes the lists that lease renewal `number` returned; returns the new updates, and
    /// whether the lists show all runs and ends. `complete` is whether they have all rows.
    pub(super) fn take_lists(
        &mut self,
        now: Instant,
        number: u64,
        running: &[TaskRun],
        ended: Vec<ListedEnd>,
        complete: bool,
    ) -> (Vec<OwnedUpdate>, bool) {
        let is_full = ended.len() >= MAX_LISTED_ENDS;
        // Answers on different connections may be reordered.
        let is_latest = number >= self.latest_listed_renewal;
        self.latest_listed_renewal = self.latest_listed_renewal.max(number);
        let mut updates = Vec::new();
        for end in ended {
            if end.number <= self.last_end {
                continue;
            }
            self.last_end = end.number;
            let run = self.runs.swap_remove(&end.run);
            let run_time = run.as_ref().and_then(|run| run.run_time(now));
            self.add_run_time(now, &end, run_time);
            let presence = run.as_ref().and_then(|run| run.presence);
            self.add_kind_sample(now, &end, presence.zip(run_time));
            let ran = run.as_ref().map(|run| now.saturating_duration_since(run.since));
            let owner = run.and_then(|run| run.owner);
            let update = update_of(&end, ran);
            updates.push((owner.clone(), update.clone()));
            // The ends of best-effort jobs are not recorded.
            if !matches!(owner, Some(SchedulerKey::Entry(_))) {
                let (number, listed_at) = (end.number, now);
                self.unacked.push(UnackedEnd { number, update, owner, listed_at, is_void: false });
            }
        }
        if !is_latest {
            return (updates, false);
        }
        for run in running {
            self.runs.entry(run.clone()).or_insert(RunState {
                phase: RunPhase::Running { since_renewal: self.renewals_sent },
                size: ResourceAmount::default(),
                estimate: None,
                queue: None,
                presence: None,
                owner: None,
                ordered_at: now,
                since: now,
                is_resent: false,
            });
        }
        let shows_all = complete && !is_full;
        if shows_all {
            updates.extend(self.drop_unlisted(number, running));
        }
        (updates, shows_all)
    }

    /// Drops runs that are missing from the list of a renewal sent after they were
    /// started, stopped or barred: they are over, or never started. Their updates
    /// have number 0, since no listed end belongs to them.
    fn drop_unlisted(&mut self, number: u64, running: &[TaskRun]) -> Vec<OwnedUpdate> {
        let mut updates = Vec::new();
        self.runs.retain(|run, state| {
            if running.contains(run) {
                return true;
            }
            let update = match state.phase {
                RunPhase::Running { since_renewal } if since_renewal < number => {
                    RunUpdate::lapsed(run.clone())
                }
                RunPhase::Barred { since_renewal } if since_renewal < number => {
                    RunUpdate::Refused { run: run.clone(), refusal: StartRefusal::Barred }
                }
                _ => return true,
            };
            updates.push((state.owner.clone(), update));
            false
        });
        updates
    }

    /// Adds the run time of an ended run to the speed.
    fn add_run_time(&mut self, now: Instant, end: &ListedEnd, run_time: Option<RunTime>) {
        let Some((speed, run_time)) = self.speed.as_mut().zip(run_time) else { return };
        match end.kind {
            EndKind::Done => speed.add_completed(now, &end.run.task.job, run_time),
            EndKind::Stopped => speed.add_stopped(now, &end.run.task.job, run_time),
            _ => {}
        }
    }

    /// Adds a completed run to the comparisons of kinds.
    fn add_kind_sample(
        &mut self,
        now: Instant,
        end: &ListedEnd,
        sample: Option<(PresenceMark, RunTime)>,
    ) {
        if let (Some(kinds), Some((mark, run_time)), EndKind::Done) =
            (&mut self.kinds, sample, end.kind)
        {
            kinds.add_completed(now, &end.run.task.job, mark, run_time);
        }
    }

    /// Updates the comparisons of kinds with the runs that are active.
    pub(super) fn update_kinds(&mut self, now: Instant) {
        let Some(kinds) = &mut self.kinds else { return };
        let active = self.runs.iter().filter(|(_, state)| state.phase.may_be_active());
        let active = active.filter_map(|(run, state)| Some((&run.task.job, state.queue.as_ref()?)));
        kinds.update(now, active);
        for state in self.runs.values_mut() {
            if let Some(mark) = &mut state.presence {
                kinds.observe(now, mark);
            } else if state.phase.is_active()
                && let (Some(queue), Some(estimate)) = (&state.queue, state.estimate)
            {
                state.presence = kinds.mark(now, queue, estimate);
            }
        }
    }

    /// The comparisons of kinds, if they are to be learned.
    pub(super) fn kinds(&self) -> Option<&KindSamples> {
        self.kinds.as_ref()
    }

    /// Those of the watched kinds of which other schedulers have runs.
    pub(super) fn other_kinds(
        &self,
        scheduler: &SchedulerKey,
        watched: &[QueueId],
    ) -> Vec<QueueId> {
        let is_there = |kind: &&QueueId| {
            let mut others = self.runs.values().filter(|run| run.owner.as_ref() != Some(scheduler));
            others.any(|run| run.queue.as_ref() == Some(*kind))
        };
        watched.iter().filter(is_there).cloned().collect()
    }

    /// Updates the speed with the runs that are active; returns the figure before and the
    /// present one after a notable change.
    pub(super) fn update_speed(
        &mut self,
        now: Instant,
    ) -> Option<(Option<SpeedReport>, SpeedReport)> {
        let speed = self.speed.as_mut()?;
        let active = self.runs.iter().filter(|(_, state)| state.phase.is_active());
        let running = active.filter_map(|(run, state)| Some((&run.task.job, state.run_time(now)?)));
        speed.update(now, running.clone());
        let overdue_in = running.filter_map(|(_, run)| {
            let left = speed.overdue_after(run.estimate).checked_sub(run.ran)?;
            (!left.is_zero()).then_some(left)
        });
        self.overdue_at = overdue_in.min().and_then(|left| now.checked_add(left));
        speed.take_notable_change()
    }

    /// The speed to report, if it is to be learned and there are samples.
    pub(super) fn speed_report(&self) -> Option<SpeedReport> {
        self.speed.as_ref()?.report()
    }

    /// Whether the speed is that of the latest few jobs.
    pub(super) fn uses_recent_speed(&self) -> bool {
        self.speed.as_ref().is_some_and(ServerSpeed::has_recent_taken_over)
    }

    /// Records whether the latest lists are complete; `true` if they no longer are.
    pub(super) fn set_lists_complete(&mut self, complete: bool) -> bool {
        !std::mem::replace(&mut self.lists_partial, !complete) && !complete
    }

    /// Whether several renewals are kept outstanding, since a call got no answer.
    pub(super) fn is_hedging(&self, now: Instant) -> bool {
        self.hedge_until.is_some_and(|until| until > now)
    }

    /// Returns the number of the next lease renewal, from 1.
    pub(super) fn next_renewal(&mut self) -> u64 {
        self.renewals_sent += 1;
        self.renewals_sent
    }

    /// Removes the runs whose start was not sent, and returns them as refused.
    pub(super) fn take_waiting(&mut self) -> Vec<OwnedUpdate> {
        self.start_queue = StartQueue::default();
        let waiting = self.runs.extract_if(.., |_, state| state.phase == RunPhase::Waiting);
        let refused = |run| RunUpdate::Refused { run, refusal: StartRefusal::Gone };
        waiting.map(|(run, state)| (state.owner, refused(run))).collect()
    }

    /// Takes over the runs of an earlier life of the instance, until the first lists show
    /// which of them this life has, or the lease that they were given has expired. Those
    /// that were to end, or whose start is in doubt, are stopped again.
    pub(super) fn take_over_runs(&mut self, now: Instant, earlier: ServerLife) {
        self.lease_expires_at = earlier.lease_expires_at;
        self.runs = earlier.runs;
        for state in self.runs.values_mut() {
            state.estimate = None;
            state.presence = None;
            state.phase = match state.phase {
                RunPhase::Running { .. } => RunPhase::Running { since_renewal: 0 },
                _ => RunPhase::Stopping { retry_at: Some(now) },
            };
        }
    }

    /// Removes all runs and returns them as lapsed, or as refused if they have not
    /// started.
    pub(super) fn take_lapsed(&mut self) -> Vec<OwnedUpdate> {
        self.start_queue = StartQueue::default();
        let runs = std::mem::take(&mut self.runs).into_iter();
        runs.map(|(run, state)| {
            let update = match state.phase {
                RunPhase::Waiting => RunUpdate::Refused { run, refusal: StartRefusal::Gone },
                _ => RunUpdate::lapsed(run),
            };
            (state.owner, update)
        })
        .collect()
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let renewal = self.outstanding_renewals.is_empty().then_some(self.renew_at);
        let retries = self.runs.values().filter_map(|state| match state.phase {
            RunPhase::Stopping { retry_at } => retry_at,
            _ => None,
        });
        let queries = [self.query_lists_at, self.renew_early_at];
        let starts = [self.start_queue.next_deadline(), self.start_resends.next_deadline()];
        let ends = starts.into_iter().chain([self.lapses_at()]);
        let speed = [self.overdue_at, self.speed.as_ref().and_then(ServerSpeed::next_decay)];
        let fixed = [renewal].into_iter().chain(queries).chain(ends).chain(speed);
        fixed.flatten().chain(retries).min()
    }
}

/// Whether the outcome of a call shows that the backend server is there.
pub(super) fn is_contact(answer: &ServerAnswer) -> bool {
    match answer {
        ServerAnswer::NoAnswer | ServerAnswer::NotSent | ServerAnswer::ConnectionRefused => false,
        ServerAnswer::Done
        | ServerAnswer::Lists { .. }
        | ServerAnswer::PartialLists { .. }
        | ServerAnswer::Refused(_) => true,
    }
}

/// Converts a listed end of a run that took `ran` to an update.
fn update_of(end: &ListedEnd, ran: Option<Duration>) -> RunUpdate {
    let ran_ms = ran.map(|ran| ran.as_millis() as u64);
    RunUpdate::Ended { number: end.number, run: end.run.clone(), kind: end.kind, ran_ms }
}
