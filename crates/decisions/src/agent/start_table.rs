//! Owns what an agent knows of every task it was ever ordered to start, and
//! the decision whether a task may start.
//!
//! Invariants:
//! - a task key starts at most once, whatever is lost, doubled or late;
//! - "not started" binds: it leaves a tombstone that refuses the same and all
//!   earlier attempts;
//! - without a lease, or for a fenced owner, nothing starts that may not be
//!   repeated.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    AgentAnswer, AgentReply, AgentView, Announcement, AttemptId, CallId, Incarnation, MessageKind,
    NodeId, NotStartedReason, RecallAnswer, RecallFate, RecallOrder, RunEnd, ServiceId,
    ServiceSlots, StartOrder, TaskFate, TaskKey, TaskOutcome, TaskQuestion, TaskReport,
};

use super::instance_pool::{InstancePool, PoolChange};

/// Limits of an agent.
#[derive(Debug, Clone)]
pub struct StartLimits {
    /// Tasks that may wait for a slot.
    pub queue_limit: usize,
    /// How long ended tasks and tombstones are kept.
    pub retention: Duration,
    /// How long an announcement holds.
    pub announce_ttl: Duration,
}

/// What the agent does next.
#[derive(Debug, Clone, PartialEq)]
pub enum StartStep {
    /// Runs the task at a backend server.
    Run {
        /// Where.
        address: SocketAddr,
        /// The order.
        order: Box<StartOrder>,
    },
    /// Answers a call.
    Answer(AgentReply),
    /// Stops a running task.
    Stop {
        /// The task.
        key: TaskKey,
    },
    /// Tells the entries that watch.
    Announce,
    /// Counts a message by its kind.
    Count(MessageKind),
}

#[derive(Debug, Clone)]
enum TaskState {
    Queued { order: Box<StartOrder>, expires: Instant },
    Running,
    Ended { outcome: TaskOutcome },
    Tombstone { reason: NotStartedReason },
}

#[derive(Debug, Clone)]
struct TaskEntry {
    attempt: AttemptId,
    service: ServiceId,
    state: TaskState,
    waiting_calls: Vec<(CallId, AttemptId)>,
    changed_at: Instant,
}

/// The start table of one agent.
#[derive(Debug, Clone)]
pub struct StartTable {
    incarnation: Incarnation,
    limits: StartLimits,
    pool: InstancePool,
    tasks: IndexMap<TaskKey, TaskEntry>,
    queues: IndexMap<ServiceId, VecDeque<TaskKey>>,
    retention_queue: VecDeque<(Instant, TaskKey)>,
    fences: IndexMap<NodeId, Incarnation>,
    lease_until: Option<Instant>,
    draining: bool,
    version: u64,
}

impl StartTable {
    /// An empty table without a lease.
    pub fn new(incarnation: Incarnation, limits: StartLimits) -> StartTable {
        StartTable {
            incarnation,
            pool: InstancePool::new(limits.announce_ttl),
            limits,
            tasks: IndexMap::new(),
            queues: IndexMap::new(),
            retention_queue: VecDeque::new(),
            fences: IndexMap::new(),
            lease_until: None,
            draining: false,
            version: 1,
        }
    }

    /// Decides on a start order.
    pub fn on_order(
        &mut self,
        now: Instant,
        call: CallId,
        order: Box<StartOrder>,
    ) -> Vec<StartStep> {
        match self.tasks.get_mut(&order.key) {
            Some(entry) if !entry.admits(order.attempt) => {
                let mut steps = vec![StartStep::Count(MessageKind::Duplicate)];
                steps.extend(self.answer_or_wait(now, call, &order.key, order.attempt));
                steps
            }
            _ => self.start_new(now, call, order),
        }
    }

    fn start_new(&mut self, now: Instant, call: CallId, order: Box<StartOrder>) -> Vec<StartStep> {
        let key = order.key.clone();
        let attempt = order.attempt;
        if let Some(reason) = self.refusal(now, &order) {
            self.set_tombstone(now, &key, &order.service, attempt, reason);
            let mut steps = vec![StartStep::Count(MessageKind::Refusal)];
            steps.extend(self.answer_or_wait(now, call, &key, attempt));
            return steps;
        }
        let service = order.service.clone();
        let expires = now + order.left();
        let state = TaskState::Queued { order, expires };
        let waiting_calls = vec![(call, attempt)];
        let entry =
            TaskEntry { attempt, service: service.clone(), state, waiting_calls, changed_at: now };
        self.tasks.insert(key.clone(), entry);
        self.queues.entry(service.clone()).or_default().push_back(key);
        self.fill_slots(now, &service)
    }

    /// Why an order can't be taken, if it can't.
    fn refusal(&self, now: Instant, order: &StartOrder) -> Option<NotStartedReason> {
        if self.is_fenced(order) {
            return Some(NotStartedReason::OwnerFenced);
        }
        if !order.idempotent && !self.has_lease(now) {
            return Some(NotStartedReason::NoLease);
        }
        if self.draining {
            return Some(NotStartedReason::Draining);
        }
        if !self.pool.serves(&order.service) {
            return Some(NotStartedReason::NoInstance);
        }
        let queued = self.queues.get(&order.service).map_or(0, VecDeque::len);
        let slots = self.pool.slots().get(&order.service).copied().unwrap_or(0);
        let free = slots.saturating_sub(self.pool.running(&order.service)) as usize;
        if queued >= self.limits.queue_limit + free {
            return Some(NotStartedReason::QueueFull);
        }
        None
    }

    fn is_fenced(&self, order: &StartOrder) -> bool {
        let fenced = self.fences.get(&order.owner.entry);
        fenced.is_some_and(|incarnation| order.owner.incarnation <= *incarnation)
    }

    fn has_lease(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Moves queued tasks into free slots, oldest first.
    fn fill_slots(&mut self, now: Instant, service: &ServiceId) -> Vec<StartStep> {
        let mut steps = Vec::new();
        while let Some(key) = self.queues.get(service).and_then(VecDeque::front).cloned() {
            if let Some(reason) = self.queued_refusal(now, &key) {
                steps.extend(self.revoke_queued(now, &key, reason));
                continue;
            }
            let Some(address) = self.pool.take_slot(service) else { break };
            self.remove_from_queue(service, &key);
            steps.extend(self.run(now, &key, address));
        }
        steps
    }

    /// A queued task is checked again right before it starts: its owner may
    /// have been fenced, or the lease lost, while it waited.
    fn queued_refusal(&self, now: Instant, key: &TaskKey) -> Option<NotStartedReason> {
        let TaskState::Queued { order, expires } = &self.tasks.get(key)?.state else { return None };
        if *expires <= now {
            return Some(NotStartedReason::Expired);
        }
        if self.is_fenced(order) {
            return Some(NotStartedReason::OwnerFenced);
        }
        if !order.idempotent && !self.has_lease(now) {
            return Some(NotStartedReason::NoLease);
        }
        None
    }

    fn run(&mut self, now: Instant, key: &TaskKey, address: SocketAddr) -> Option<StartStep> {
        let entry = self.tasks.get_mut(key)?;
        let TaskState::Queued { order, expires } =
            std::mem::replace(&mut entry.state, TaskState::Running)
        else {
            return None;
        };
        let mut order = order;
        order.left_ms = expires.saturating_duration_since(now).as_millis() as u64;
        entry.changed_at = now;
        Some(StartStep::Run { address, order })
    }

    /// Decides what a run that ended comes to.
    pub fn on_run_ended(
        &mut self,
        now: Instant,
        key: &TaskKey,
        address: &SocketAddr,
        end: RunEnd,
    ) -> Vec<StartStep> {
        self.pool.free_slot(address);
        let Some(entry) = self.tasks.get_mut(key) else { return Vec::new() };
        let service = entry.service.clone();
        let mut steps = Vec::new();
        match end {
            RunEnd::Outcome(outcome) => {
                entry.state = TaskState::Ended { outcome };
                entry.changed_at = now;
                self.retention_queue.push_back((now, key.clone()));
            }
            RunEnd::NeverSent { .. } => {
                let attempt = entry.attempt;
                let reason = NotStartedReason::Unreachable;
                if self.pool.withdraw(address) == PoolChange::Changed {
                    steps.push(self.bump_version());
                }
                self.set_tombstone(now, key, &service, attempt, reason);
            }
        }
        steps.extend(self.answer_waiting(key));
        steps.extend(self.fill_slots(now, &service));
        steps.extend(self.revoke_unserved(now));
        steps
    }

    /// Decides on a question after a task. A task that is not known here is
    /// marked so that the asked attempt can never start.
    pub fn on_attach(
        &mut self,
        now: Instant,
        call: CallId,
        query: &TaskQuestion,
    ) -> Vec<StartStep> {
        self.ensure_tombstone(now, query);
        self.answer_or_wait(now, call, &query.key, query.attempt)
    }

    /// Decides on a recall: what is queued is taken back, what is unknown is
    /// barred, what runs is stopped only when asked.
    pub fn on_recall(&mut self, now: Instant, call: CallId, order: &RecallOrder) -> Vec<StartStep> {
        let mut steps = Vec::new();
        let mut fates = Vec::new();
        for query in &order.questions {
            self.ensure_tombstone(now, query);
            if self.is_queued(&query.key) {
                steps.extend(self.revoke_queued(now, &query.key, NotStartedReason::Recalled));
                self.raise_tombstone(query);
            }
            let fate = self.fate(&query.key);
            if order.stop_running && fate == TaskFate::Running {
                steps.push(StartStep::Stop { key: query.key.clone() });
            }
            fates.push(RecallFate { question: query.clone(), fate });
        }
        let answer = RecallAnswer { incarnation: self.incarnation, fates };
        steps.push(StartStep::Answer(AgentReply { call, answer: AgentAnswer::Fates(answer) }));
        steps
    }

    fn is_queued(&self, key: &TaskKey) -> bool {
        self.tasks.get(key).is_some_and(|entry| matches!(entry.state, TaskState::Queued { .. }))
    }

    fn ensure_tombstone(&mut self, now: Instant, query: &TaskQuestion) {
        if self.tasks.contains_key(&query.key) {
            self.raise_tombstone(query);
            return;
        }
        let service = ServiceId::default();
        let reason = NotStartedReason::Recalled;
        self.set_tombstone(now, &query.key, &service, query.attempt, reason);
    }

    fn raise_tombstone(&mut self, query: &TaskQuestion) {
        let Some(entry) = self.tasks.get_mut(&query.key) else { return };
        if matches!(entry.state, TaskState::Tombstone { .. }) {
            entry.attempt = entry.attempt.max(query.attempt);
        }
    }

    fn set_tombstone(
        &mut self,
        now: Instant,
        key: &TaskKey,
        service: &ServiceId,
        attempt: AttemptId,
        reason: NotStartedReason,
    ) {
        let waiting_calls =
            self.tasks.get_mut(key).map(|entry| std::mem::take(&mut entry.waiting_calls));
        let entry = TaskEntry {
            attempt,
            service: service.clone(),
            state: TaskState::Tombstone { reason },
            waiting_calls: waiting_calls.unwrap_or_default(),
            changed_at: now,
        };
        self.tasks.insert(key.clone(), entry);
        self.retention_queue.push_back((now, key.clone()));
    }

    fn revoke_queued(
        &mut self,
        now: Instant,
        key: &TaskKey,
        reason: NotStartedReason,
    ) -> Vec<StartStep> {
        let Some(entry) = self.tasks.get(key) else { return Vec::new() };
        let service = entry.service.clone();
        let attempt = entry.attempt;
        self.remove_from_queue(&service, key);
        self.set_tombstone(now, key, &service, attempt, reason);
        self.answer_waiting(key)
    }

    fn remove_from_queue(&mut self, service: &ServiceId, key: &TaskKey) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.retain(|queued| queued != key);
        }
    }

    /// Answers a call at once when the task has ended or will not start, and
    /// keeps it waiting otherwise.
    fn answer_or_wait(
        &mut self,
        now: Instant,
        call: CallId,
        key: &TaskKey,
        attempt: AttemptId,
    ) -> Vec<StartStep> {
        let fate = self.fate(key);
        if matches!(fate, TaskFate::Queued | TaskFate::Running) {
            if let Some(entry) = self.tasks.get_mut(key) {
                entry.waiting_calls.push((call, attempt));
                entry.changed_at = now;
            }
            return Vec::new();
        }
        vec![self.report(call, key, attempt)]
    }

    fn answer_waiting(&mut self, key: &TaskKey) -> Vec<StartStep> {
        let Some(entry) = self.tasks.get_mut(key) else { return Vec::new() };
        let waiting_calls = std::mem::take(&mut entry.waiting_calls);
        waiting_calls.into_iter().map(|(call, attempt)| self.report(call, key, attempt)).collect()
    }

    fn report(&self, call: CallId, key: &TaskKey, attempt: AttemptId) -> StartStep {
        let service = self.tasks.get(key).map(|entry| entry.service.clone()).unwrap_or_default();
        let report = TaskReport {
            key: key.clone(),
            attempt,
            incarnation: self.incarnation,
            fate: self.fate(key),
            running: self.pool.running(&service),
            queued: self.queued(&service),
        };
        StartStep::Answer(AgentReply { call, answer: AgentAnswer::Report(report) })
    }

    fn queued(&self, service: &ServiceId) -> u32 {
        self.queues.get(service).map_or(0, VecDeque::len) as u32
    }

    /// What is known of a task.
    pub fn fate(&self, key: &TaskKey) -> TaskFate {
        let Some(entry) = self.tasks.get(key) else {
            return TaskFate::NotStarted { reason: NotStartedReason::Recalled };
        };
        match &entry.state {
            TaskState::Queued { .. } => TaskFate::Queued,
            TaskState::Running => TaskFate::Running,
            TaskState::Ended { outcome } => TaskFate::Ended { outcome: outcome.clone() },
            TaskState::Tombstone { reason } => TaskFate::NotStarted { reason: *reason },
        }
    }

    /// Forgets a caller that has gone; its task goes on.
    pub fn on_call_dropped(&mut self, call: CallId) {
        for entry in self.tasks.values_mut() {
            entry.waiting_calls.retain(|(waiting_call, _)| *waiting_call != call);
        }
    }

    /// A backend server announced itself.
    pub fn on_announced(&mut self, now: Instant, announcement: &Announcement) -> Vec<StartStep> {
        let change = self.pool.announce(now, announcement);
        let mut steps = self.announce_on_change(change);
        steps.extend(self.fill_slots(now, &announcement.service));
        steps
    }

    /// A backend server leaves: it gets no new work from here on.
    pub fn on_leaving(&mut self, now: Instant, address: &SocketAddr) -> Vec<StartStep> {
        let change = self.pool.withdraw(address);
        let mut steps = self.announce_on_change(change);
        steps.extend(self.revoke_unserved(now));
        steps
    }

    /// Gives back what is queued for a service that nobody here serves any
    /// more, so that entries can place it elsewhere.
    fn revoke_unserved(&mut self, now: Instant) -> Vec<StartStep> {
        let unserved: Vec<TaskKey> = self
            .queues
            .iter()
            .filter(|(service, _)| self.draining || !self.pool.serves(service))
            .flat_map(|(_, queue)| queue.iter().cloned())
            .collect();
        let reason =
            if self.draining { NotStartedReason::Draining } else { NotStartedReason::NoInstance };
        unserved.iter().flat_map(|key| self.revoke_queued(now, key, reason)).collect()
    }

    /// The worker starts or ends its drain.
    pub fn on_draining(&mut self, now: Instant, draining: bool) -> Vec<StartStep> {
        if self.draining == draining {
            return Vec::new();
        }
        self.draining = draining;
        let mut steps = vec![self.bump_version()];
        steps.extend(self.revoke_unserved(now));
        steps
    }

    /// The lease at control holds until `until`.
    pub fn on_lease(&mut self, until: Option<Instant>) {
        self.lease_until = until;
    }

    /// Control ended this agent's incarnation; a new one takes its place. What
    /// was started stays known, so nothing starts twice.
    pub fn on_new_incarnation(&mut self, incarnation: Incarnation) -> Vec<StartStep> {
        self.incarnation = incarnation;
        self.lease_until = None;
        vec![self.bump_version()]
    }

    /// Fences of entries; they only ever rise.
    pub fn on_fences(
        &mut self,
        now: Instant,
        fences: &IndexMap<NodeId, Incarnation>,
    ) -> Vec<StartStep> {
        for (entry, incarnation) in fences {
            let known = self.fences.entry(entry.clone()).or_default();
            *known = (*known).max(*incarnation);
        }
        let services: Vec<ServiceId> = self.queues.keys().cloned().collect();
        services.iter().flat_map(|service| self.fill_slots(now, service)).collect()
    }

    /// Deals with everything that time alone brings.
    pub fn on_tick(&mut self, now: Instant) -> Vec<StartStep> {
        let change = self.pool.expire(now);
        let mut steps = self.announce_on_change(change);
        steps.extend(self.expire_queued(now));
        steps.extend(self.revoke_unserved(now));
        self.evict_settled(now);
        steps
    }

    fn expire_queued(&mut self, now: Instant) -> Vec<StartStep> {
        let keys: Vec<TaskKey> = self.queues.values().flatten().cloned().collect();
        let mut steps = Vec::new();
        for key in keys {
            if let Some(reason) = self.queued_refusal(now, &key) {
                steps.extend(self.revoke_queued(now, &key, reason));
            }
        }
        steps
    }

    fn evict_settled(&mut self, now: Instant) {
        while let Some((at, _)) = self.retention_queue.front() {
            if *at + self.limits.retention > now {
                return;
            }
            let Some((at, key)) = self.retention_queue.pop_front() else { return };
            let settled = self.tasks.get(&key).is_some_and(|entry| {
                entry.changed_at <= at
                    && matches!(entry.state, TaskState::Ended { .. } | TaskState::Tombstone { .. })
            });
            if settled {
                self.tasks.swap_remove(&key);
            }
        }
    }

    /// When [`StartTable::on_tick`] is next needed.
    pub fn next_deadline(&self) -> Option<Instant> {
        let forget = self.retention_queue.front().map(|(at, _)| *at + self.limits.retention);
        let queued = self.queues.values().flatten().filter_map(|key| self.queue_expiry(key)).min();
        [forget, queued, self.pool.next_expiry()].into_iter().flatten().min()
    }

    fn queue_expiry(&self, key: &TaskKey) -> Option<Instant> {
        match &self.tasks.get(key)?.state {
            TaskState::Queued { expires, .. } => Some(*expires),
            TaskState::Running | TaskState::Ended { .. } | TaskState::Tombstone { .. } => None,
        }
    }

    fn announce_on_change(&mut self, change: PoolChange) -> Vec<StartStep> {
        match change {
            PoolChange::Changed => vec![self.bump_version()],
            PoolChange::Same => Vec::new(),
        }
    }

    fn bump_version(&mut self) -> StartStep {
        self.version += 1;
        StartStep::Announce
    }

    /// Tasks queued or running.
    pub fn in_progress(&self) -> usize {
        let busy = |entry: &&TaskEntry| {
            matches!(entry.state, TaskState::Queued { .. } | TaskState::Running)
        };
        self.tasks.values().filter(busy).count()
    }

    /// Version of the view.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Fills in the parts of a view that change.
    pub fn fill_view(&self, view: &mut AgentView) {
        view.incarnation = self.incarnation;
        view.version = self.version;
        view.draining = self.draining;
        let slots = self.pool.slots();
        let row = |(service, slots): (ServiceId, u32)| ServiceSlots {
            running: self.pool.running(&service),
            queued: self.queued(&service),
            service,
            slots,
        };
        view.services = slots.into_iter().map(row).collect();
    }
}

impl TaskEntry {
    /// Whether an order of `attempt` may still start this task.
    fn admits(&self, attempt: AttemptId) -> bool {
        matches!(self.state, TaskState::Tombstone { .. }) && attempt > self.attempt
    }
}
