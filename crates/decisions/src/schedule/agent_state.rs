//! Owns the scheduler's view of one agent: its backend server, usage and speed,
//! pending orders, and the cumulative acknowledgement of recorded ends.
//!
//! Invariant: ends are acknowledged in the order of their listing, and only up
//! to the first one that is not recorded durably.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::{
    AgentOrder, ClaimOrders, EndAck, EndNumber, Incarnation, LifeId, QueueId, ResourceAmount,
    ServerView, SessionId, SpeedReport, TaskRun,
};

use super::agent_link::AgentLink;
use super::given_up_agents::GiveUpKnowledge;
use super::kind_presence::KindPresence;
use super::speed_estimate::SpeedEstimate;
use crate::run_bounds::MAX_OWN_RUNS;

/// Consecutive failed runs after which a backend server is paused.
const FAILURES_BEFORE_PAUSE: u32 = 3;
/// How long a backend server gets no work after repeated failures.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);
/// Number of jobs that a reported speed has to be based on.
const MIN_REPORTED_JOBS: u32 = 8;
/// Change of a used speed that is logged.
const NOTABLE_FACTOR: f64 = 1.25;

/// End of a run that is reported and not acknowledged yet.
#[derive(Debug, Clone, PartialEq)]
struct PendingEnd {
    number: EndNumber,
    run: TaskRun,
    recorded: bool,
}

/// Scheduler's view of one agent.
#[derive(Debug, Clone)]
pub struct AgentState {
    pub(super) incarnation: Incarnation,
    pub(super) session: SessionId,
    pub(super) last_contact: Instant,
    /// The agent's backend server. It counts as draining also while its domain is evacuated.
    pub(super) server: Option<ServerView>,
    /// Whether the agent itself reports the server as draining.
    pub(super) reports_draining: bool,
    /// Resources taken by this scheduler's runs.
    pub(super) usage: ResourceAmount,
    /// Number of these runs.
    pub(super) own_runs: usize,
    /// Resources taken by other schedulers' runs, as last reported.
    pub(super) other_usage: ResourceAmount,
    /// Kinds of tasks that run there.
    pub(super) kinds: KindPresence,
    /// Version of the list of watched kinds that was last sent to the agent.
    pub(super) sent_kinds_version: u64,
    /// Version of the lists of hosts that were last sent to the agent.
    pub(super) sent_hosts_version: u64,
    /// The open connection, if there is one.
    pub(super) link: Option<AgentLink>,
    /// Time at which its connection was lost; `None` while it is connected.
    pub(super) link_lost_at: Option<Instant>,
    /// Orders that are not sent yet.
    pub(super) outbox: Vec<AgentOrder>,
    /// Claims to send with the next message.
    pub(super) claim_outbox: ClaimOrders,
    /// What it knows of the agents that this scheduler has given up.
    pub(super) give_ups: GiveUpKnowledge,
    /// Time until which the backend server gets no work.
    pub(super) paused_until: Option<Instant>,
    speed: SpeedEstimate,
    /// Speed that this process of the agent has reported for this life.
    reported_speed: Option<SpeedReport>,
    /// Factor on the reported slowness.
    slowness_factor: f64,
    consecutive_failures: u32,
    pending_ends: VecDeque<PendingEnd>,
    /// Number of the end up to which all ends are recorded.
    last_acked_end: EndNumber,
    /// Time since which an acknowledgement of recorded ends waits to be sent.
    pub(super) unsent_ack_since: Option<Instant>,
}

impl AgentState {
    pub(super) fn new(now: Instant, incarnation: Incarnation, session: SessionId) -> AgentState {
        AgentState {
            incarnation,
            session,
            last_contact: now,
            server: None,
            reports_draining: false,
            usage: ResourceAmount::default(),
            own_runs: 0,
            other_usage: ResourceAmount::default(),
            kinds: KindPresence::default(),
            sent_kinds_version: 0,
            sent_hosts_version: 0,
            link: None,
            link_lost_at: Some(now),
            outbox: Vec::new(),
            claim_outbox: ClaimOrders::default(),
            give_ups: GiveUpKnowledge::default(),
            paused_until: None,
            speed: SpeedEstimate::new(now),
            reported_speed: None,
            slowness_factor: 1.0,
            consecutive_failures: 0,
            pending_ends: VecDeque::new(),
            last_acked_end: 0,
            unsent_ack_since: None,
        }
    }

    /// Capacity that is taken neither by this scheduler's runs nor by others'.
    pub fn free_capacity(&self) -> ResourceAmount {
        let all = self.server.as_ref().map(|server| server.capacity).unwrap_or_default();
        all.saturating_sub(&self.usage).saturating_sub(&self.other_usage)
    }

    /// Ratio of run times on this backend server to the estimates, by the agent's figure
    /// and this scheduler's own runs.
    pub fn slowness(&self) -> f64 {
        self.speed.slowness_with(self.used_slowness())
    }

    /// Slowness by the agent's figure, if it is based on enough jobs.
    pub(super) fn used_slowness(&self) -> Option<f64> {
        let report = self.reported_speed.filter(|report| report.jobs >= MIN_REPORTED_JOBS)?;
        Some(report.slowness() * self.slowness_factor)
    }

    /// Whether this scheduler's own runs show the server to be much slower than its agent
    /// reports.
    pub(super) fn is_slower_than_reported(&self) -> bool {
        self.used_slowness().is_some_and(|reported| self.slowness() > reported)
    }

    /// Takes a reported speed, with this scheduler's factor on it; returns the slowness used
    /// before if it has changed by more than a quarter.
    pub(super) fn set_reported_speed(
        &mut self,
        report: SpeedReport,
        slowness_factor: f64,
    ) -> Option<f64> {
        let before = self.slowness();
        let was_used = self.used_slowness().is_some();
        self.reported_speed = Some(report);
        self.slowness_factor = slowness_factor;
        self.used_slowness()?;
        let ratio = self.slowness() / before;
        let changed = !(1.0 / NOTABLE_FACTOR..=NOTABLE_FACTOR).contains(&ratio);
        (changed || !was_used).then_some(before)
    }

    /// Life of the backend server: one lifetime of its process.
    pub(super) fn life(&self) -> Option<&LifeId> {
        self.server.as_ref().map(|server| &server.life)
    }

    /// Whether the agent is connected, with a backend server that is neither paused nor
    /// draining.
    pub(super) fn accepts_work(&self, now: Instant) -> bool {
        let unpaused = self.paused_until.is_none_or(|until| until <= now);
        self.link.is_some()
            && unpaused
            && self.server.as_ref().is_some_and(|server| !server.draining)
    }

    /// Number of runs that this scheduler may add.
    pub(super) fn free_runs(&self) -> usize {
        MAX_OWN_RUNS.saturating_sub(self.own_runs)
    }

    /// Takes the capacity of a run of this kind.
    pub(super) fn add_run(&mut self, size: &ResourceAmount, kind: &QueueId) {
        self.usage = self.usage.with(size);
        self.own_runs += 1;
        self.kinds.add(kind);
    }

    /// Releases what a run of this kind has taken.
    pub(super) fn remove_run(&mut self, size: &ResourceAmount, kind: &QueueId) {
        self.usage = self.usage.saturating_sub(size);
        self.own_runs = self.own_runs.saturating_sub(1);
        self.kinds.remove(kind);
    }

    /// Forgets this scheduler's runs.
    pub(super) fn clear_runs(&mut self) {
        self.usage = ResourceAmount::default();
        self.own_runs = 0;
        self.kinds.clear_own();
    }

    /// Resets everything that belongs to the previous life of the backend server.
    pub(super) fn begin_life(&mut self, now: Instant) {
        self.pending_ends.clear();
        self.last_acked_end = 0;
        self.unsent_ack_since = None;
        self.clear_runs();
        self.consecutive_failures = 0;
        self.paused_until = None;
        self.speed = SpeedEstimate::new(now);
        self.reported_speed = None;
    }

    /// Starts a session and resets everything that belongs to a connection.
    pub(super) fn begin_session(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        session: SessionId,
    ) {
        if self.incarnation != incarnation {
            self.give_ups = GiveUpKnowledge::default();
            self.reported_speed = None;
        }
        self.incarnation = incarnation;
        self.session = session;
        self.outbox.clear();
        self.claim_outbox = ClaimOrders::default();
        self.link = None;
        self.link_lost_at = Some(now);
        self.unsent_ack_since = (self.last_acked_end > 0).then_some(now);
        self.sent_hosts_version = 0;
        self.sent_kinds_version = 0;
        self.kinds.others.clear();
    }

    /// Records the run time of a successful run.
    pub(super) fn record_run_time(&mut self, now: Instant, ran: Duration, estimate: Duration) {
        self.speed.add_sample(now, ran, estimate);
        self.consecutive_failures = 0;
    }

    /// Records a run that took at least `ran` without ending.
    pub(super) fn add_overdue_sample(&mut self, now: Instant, ran: Duration, estimate: Duration) {
        self.speed.add_overdue_sample(now, ran, estimate);
    }

    /// Lets the slowness estimate decay while there are no samples.
    pub(super) fn decay_speed(&mut self, now: Instant) {
        self.speed.decay(now);
    }

    /// Counts a failed run, or a refusal by an unhealthy backend server; pauses
    /// the server after [`FAILURES_BEFORE_PAUSE`] in a row.
    pub(super) fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_BEFORE_PAUSE {
            self.paused_until = Some(now + FAILURE_PAUSE);
        }
    }

    /// Pauses the backend server; an earlier pause that lasts longer stays.
    pub(super) fn pause(&mut self, until: Instant) {
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// Records a reported end; `false` if it is a duplicate. Ends with number 0
    /// are not listed by the backend server and need no acknowledgement.
    pub(super) fn add_reported_end(&mut self, number: EndNumber, run: &TaskRun) -> bool {
        if number == 0 {
            return true;
        }
        let known = number <= self.last_acked_end
            || self.pending_ends.iter().any(|end| end.number == number);
        if !known {
            self.pending_ends.push_back(PendingEnd { number, run: run.clone(), recorded: false });
        }
        !known
    }

    /// Marks the end of a run as recorded durably and advances the
    /// acknowledgement.
    pub(super) fn mark_end_recorded(&mut self, now: Instant, run: &TaskRun) {
        for end in self.pending_ends.iter_mut().filter(|end| end.run == *run) {
            end.recorded = true;
        }
        while let Some(end) = self.pending_ends.pop_front_if(|end| end.recorded) {
            self.last_acked_end = end.number;
            self.unsent_ack_since.get_or_insert(now);
        }
    }

    /// Returns the claim orders to send, if there are any.
    pub(super) fn take_claim_orders(
        &mut self,
        incarnation: Incarnation,
    ) -> Option<Box<ClaimOrders>> {
        let orders = std::mem::take(&mut self.claim_outbox);
        let is_empty = orders == ClaimOrders::default();
        (!is_empty).then(|| Box::new(ClaimOrders { incarnation, ..orders }))
    }

    /// Returns the acknowledgement to send and marks it as sent.
    pub(super) fn take_ack(&mut self) -> Option<EndAck> {
        self.unsent_ack_since = None;
        let life = self.life()?.clone();
        (self.last_acked_end > 0).then_some(EndAck { life, upto: self.last_acked_end })
    }
}
