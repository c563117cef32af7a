//! Owns the state of the tasks that an agent was ordered to start, and decides
//! whether a task may start.
//!
//! Invariants:
//! - a task key starts at most once, even if messages are lost, duplicated or
//!   delayed;
//! - the reply "not started" is binding: it leaves a tombstone that refuses the
//!   same and all earlier attempts;
//! - without a lease no task starts that is not idempotent;
//! - no task of a fenced owner, which is an ended incarnation of an entry,
//!   starts.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    AgentAnswer, AgentReply, AgentView, Announcement, AttemptId, CallId, Incarnation, MessageKind,
    NodeId, NotStartedReason, RecallAnswer, RecallOrder, RecallStatus, RunEnd, ServiceId,
    ServiceSlots, StartOrder, TaskKey, TaskOutcome, TaskQuery, TaskReport, TaskStatus,
};

use super::instance_pool::{InstancePool, PoolChange};

/// Limits of a start table.
#[derive(Debug, Clone)]
pub struct StartLimits {
    /// Tasks of one service that may wait for a slot, beyond its free slots.
    pub queue_limit: usize,
    /// How long ended tasks and tombstones are retained.
    pub retention: Duration,
    /// How long an announcement of a backend server is valid.
    pub announce_ttl: Duration,
}

/// An effect for the start service to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum StartStep {
    /// Sends the task to a backend server.
    Run {
        /// Address of the backend server.
        address: SocketAddr,
        /// Order with the time that is left of its limit.
        order: Box<StartOrder>,
    },
    /// Replies to a call.
    Answer(AgentReply),
    /// Stops a running task.
    Stop {
        /// Key of the task.
        key: TaskKey,
    },
    /// Sends the changed view to the entries that watch this agent.
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
    /// Attempt that queued the task, or the latest one that a tombstone refuses.
    attempt: AttemptId,
    service: ServiceId,
    state: TaskState,
    /// Calls that are answered when the task ends, with the attempt that each is about.
    waiting_calls: Vec<(CallId, AttemptId)>,
    changed_at: Instant,
}

/// State machine of task starts on one agent.
#[derive(Debug, Clone)]
pub struct StartTable {
    incarnation: Incarnation,
    limits: StartLimits,
    pool: InstancePool,
    tasks: IndexMap<TaskKey, TaskEntry>,
    /// Queued tasks of each service, in FIFO order.
    queues: IndexMap<ServiceId, VecDeque<TaskKey>>,
    /// Tasks that ended or got a tombstone, by the time of that, for eviction.
    retention_queue: VecDeque<(Instant, TaskKey)>,
    /// Highest fenced incarnation of each entry.
    fences: IndexMap<NodeId, Incarnation>,
    /// Expiry of this agent's lease from control.
    lease_until: Option<Instant>,
    draining: bool,
    version: u64,
}

impl StartTable {
    /// Creates an empty table without a lease.
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

    /// Handles a start order. An order for a known task is a duplicate, unless a
    /// tombstone admits its attempt.
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
        let expires = now + order.remaining();
        let state = TaskState::Queued { order, expires };
        let waiting_calls = vec![(call, attempt)];
        let entry =
            TaskEntry { attempt, service: service.clone(), state, waiting_calls, changed_at: now };
        self.tasks.insert(key.clone(), entry);
        self.queues.entry(service.clone()).or_default().push_back(key);
        self.fill_slots(now, &service)
    }

    /// Reason to refuse an order, if there is one.
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

    /// Assigns queued tasks to free slots, in FIFO order.
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

    /// Repeats the checks for a queued task right before it starts: its owner may
    /// have been fenced, or the lease lost, while it was queued.
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
        order.remaining_ms = expires.saturating_duration_since(now).as_millis() as u64;
        entry.changed_at = now;
        Some(StartStep::Run { address, order })
    }

    /// Handles the end of a run. If the order was never sent, the backend server
    /// is withdrawn and the task gets a tombstone.
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

    /// Handles a query for the outcome of a task. An unknown task gets a tombstone,
    /// so that the queried attempt can never start.
    pub fn on_query(&mut self, now: Instant, call: CallId, query: &TaskQuery) -> Vec<StartStep> {
        self.ensure_tombstone(now, query);
        self.answer_or_wait(now, call, &query.key, query.attempt)
    }

    /// Handles a recall: queued tasks are revoked, unknown ones get a tombstone,
    /// and running ones are stopped only if the order says so.
    pub fn on_recall(&mut self, now: Instant, call: CallId, order: &RecallOrder) -> Vec<StartStep> {
        let mut steps = Vec::new();
        let mut statuses = Vec::new();
        for query in &order.queries {
            self.ensure_tombstone(now, query);
            if self.is_queued(&query.key) {
                steps.extend(self.revoke_queued(now, &query.key, NotStartedReason::Recalled));
                self.raise_tombstone(query);
            }
            let status = self.status(&query.key);
            if order.stop_running && status == TaskStatus::Running {
                steps.push(StartStep::Stop { key: query.key.clone() });
            }
            statuses.push(RecallStatus { query: query.clone(), status });
        }
        let answer = RecallAnswer { incarnation: self.incarnation, statuses };
        steps.push(StartStep::Answer(AgentReply { call, answer: AgentAnswer::Statuses(answer) }));
        steps
    }

    fn is_queued(&self, key: &TaskKey) -> bool {
        self.tasks.get(key).is_some_and(|entry| matches!(entry.state, TaskState::Queued { .. }))
    }

    /// Sets a tombstone for an unknown task, or raises the one that is there.
    fn ensure_tombstone(&mut self, now: Instant, query: &TaskQuery) {
        if self.tasks.contains_key(&query.key) {
            self.raise_tombstone(query);
            return;
        }
        let service = ServiceId::default();
        let reason = NotStartedReason::Recalled;
        self.set_tombstone(now, &query.key, &service, query.attempt, reason);
    }

    /// Raises the attempt up to which an existing tombstone refuses orders.
    fn raise_tombstone(&mut self, query: &TaskQuery) {
        let Some(entry) = self.tasks.get_mut(&query.key) else { return };
        if matches!(entry.state, TaskState::Tombstone { .. }) {
            entry.attempt = entry.attempt.max(query.attempt);
        }
    }

    /// Replaces the state of a task by a tombstone; waiting calls are kept.
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

    /// Replaces a queued task by a tombstone and answers its calls.
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

    /// Answers a call at once if the task has ended or was not started, and
    /// otherwise when it ends.
    fn answer_or_wait(
        &mut self,
        now: Instant,
        call: CallId,
        key: &TaskKey,
        attempt: AttemptId,
    ) -> Vec<StartStep> {
        let status = self.status(key);
        if matches!(status, TaskStatus::Queued | TaskStatus::Running) {
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

    /// Answers a call with the status of its task and the load of its service.
    fn report(&self, call: CallId, key: &TaskKey, attempt: AttemptId) -> StartStep {
        let service = self.tasks.get(key).map(|entry| entry.service.clone()).unwrap_or_default();
        let report = TaskReport {
            key: key.clone(),
            attempt,
            incarnation: self.incarnation,
            status: self.status(key),
            running: self.pool.running(&service),
            queued: self.queued(&service),
        };
        StartStep::Answer(AgentReply { call, answer: AgentAnswer::Report(report) })
    }

    fn queued(&self, service: &ServiceId) -> u32 {
        self.queues.get(service).map_or(0, VecDeque::len) as u32
    }

    /// Returns the status of a task. An unknown task counts as recalled; callers
    /// that reply with this set a tombstone first.
    pub fn status(&self, key: &TaskKey) -> TaskStatus {
        let Some(entry) = self.tasks.get(key) else {
            return TaskStatus::NotStarted { reason: NotStartedReason::Recalled };
        };
        match &entry.state {
            TaskState::Queued { .. } => TaskStatus::Queued,
            TaskState::Running => TaskStatus::Running,
            TaskState::Ended { outcome } => TaskStatus::Ended { outcome: outcome.clone() },
            TaskState::Tombstone { reason } => TaskStatus::NotStarted { reason: *reason },
        }
    }

    /// Drops a call whose connection is lost; its task continues.
    pub fn on_call_dropped(&mut self, call: CallId) {
        for entry in self.tasks.values_mut() {
            entry.waiting_calls.retain(|(waiting_call, _)| *waiting_call != call);
        }
    }

    /// Handles the announcement of a backend server.
    pub fn on_announced(&mut self, now: Instant, announcement: &Announcement) -> Vec<StartStep> {
        let change = self.pool.announce(now, announcement);
        let mut steps = self.announce_on_change(change);
        steps.extend(self.fill_slots(now, &announcement.service));
        steps
    }

    /// Handles the leave of a backend server; it gets no new tasks.
    pub fn on_leaving(&mut self, now: Instant, address: &SocketAddr) -> Vec<StartStep> {
        let change = self.pool.withdraw(address);
        let mut steps = self.announce_on_change(change);
        steps.extend(self.revoke_unserved(now));
        steps
    }

    /// Revokes queued tasks of services without a backend server, or all of them
    /// while draining, so that entries can place them elsewhere.
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

    /// Handles the start or end of the worker's drain.
    pub fn on_draining(&mut self, now: Instant, draining: bool) -> Vec<StartStep> {
        if self.draining == draining {
            return Vec::new();
        }
        self.draining = draining;
        let mut steps = vec![self.bump_version()];
        steps.extend(self.revoke_unserved(now));
        steps
    }

    /// Sets the expiry of the lease granted by control; `None` without a lease.
    pub fn on_lease(&mut self, until: Option<Instant>) {
        self.lease_until = until;
    }

    /// Sets a new incarnation after control ended the previous one. Known tasks
    /// are kept, so that none starts twice.
    pub fn on_new_incarnation(&mut self, incarnation: Incarnation) -> Vec<StartStep> {
        self.incarnation = incarnation;
        self.lease_until = None;
        vec![self.bump_version()]
    }

    /// Merges the fences of entries, which never decrease.
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

    /// Handles timeouts; see [`StartTable::next_deadline`].
    pub fn on_tick(&mut self, now: Instant) -> Vec<StartStep> {
        let change = self.pool.expire(now);
        let mut steps = self.announce_on_change(change);
        steps.extend(self.expire_queued(now));
        steps.extend(self.revoke_unserved(now));
        self.evict_settled(now);
        steps
    }

    /// Revokes queued tasks that may no longer start.
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

    /// Evicts ended tasks and tombstones that are older than the retention and
    /// have not changed since.
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

    /// Time at which [`StartTable::on_tick`] is next due.
    pub fn next_deadline(&self) -> Option<Instant> {
        let eviction = self.retention_queue.front().map(|(at, _)| *at + self.limits.retention);
        let queued = self.queues.values().flatten().filter_map(|key| self.queue_expiry(key)).min();
        [eviction, queued, self.pool.next_expiry()].into_iter().flatten().min()
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

    /// Number of tasks that are queued or running.
    pub fn in_progress(&self) -> usize {
        let busy = |entry: &&TaskEntry| {
            matches!(entry.state, TaskState::Queued { .. } | TaskState::Running)
        };
        self.tasks.values().filter(busy).count()
    }

    /// Version of the agent's view; rises with each change that entries see.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Fills in the parts of the view that this table owns.
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
    /// Whether an order of `attempt` may start this task: only a later attempt
    /// than that of a tombstone.
    fn admits(&self, attempt: AttemptId) -> bool {
        matches!(self.state, TaskState::Tombstone { .. }) && attempt > self.attempt
    }
}
