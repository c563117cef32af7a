//! Service that schedules queued jobs: on a control host while it is the leader,
//! on an entry for the entry's own callers.
//!
//! Invariants:
//! - a control host accepts a job only through a committed log record;
//! - pending calls are answered when this host loses leadership.

use std::time::{Duration, Instant};

use decisions::schedule::{JobDecision, ScheduleLimits, ScheduleStep, Scheduler, SchedulerKind};
use indexmap::IndexMap;
use kernel::{
    BatchHandler, KernelError, PushError, Registry, Reservation, RingReceiver, RingSender,
    SharedClock, run_batched_duty,
};
use model::{
    CallId, CatalogQuery, Command, ConfigVersion, ControlAnswer, ControlReply, ControlReplyBody,
    EventLine, EventLog, JobCall, JobReply, JobReplySlot, LeaderHint, LinkId, LogIndex, LogMessage,
    ProcessCounters, QueueFrontMessage, ScheduleEdgeMessage, SchedulerMessage, SchedulingMessage,
    ServiceName, Term,
};

use crate::context::ServiceContext;
use crate::load_meter::LoadMeter;

/// Time after which an entry's watch for a newer catalog is answered without one.
const CATALOG_WATCH_TIMEOUT: Duration = Duration::from_millis(700);

/// An entry's pending request for a catalog newer than `version`.
struct CatalogWatcher {
    call: CallId,
    version: ConfigVersion,
    /// Age of the entry's list of control hosts, if it takes a newer one.
    group_version: Option<(Term, LogIndex)>,
    /// Version of the entry's list of evacuated domains, if it takes a newer one.
    evacuation_version: Option<LogIndex>,
    deadline: Instant,
    reply: Reservation<ControlReply>,
}

/// Process in which a scheduler runs, with the rings that exist only there.
enum SchedulerSite {
    /// A control host; holds the ring of its replicated log.
    Control(RingSender<LogMessage>),
    /// An entry.
    Entry,
}

struct JobScheduling {
    log: EventLog,
    clock: SharedClock,
    scheduler: Scheduler,
    /// The leader and the group of control hosts, as far as this host knows them.
    hint: LeaderHint,
    /// Ring of the duty that serves the streams of agents.
    edge: RingSender<ScheduleEdgeMessage>,
    /// Reply slots of callers that wait for the end of a best-effort job.
    waiting_callers: IndexMap<CallId, JobReplySlot>,
    catalog_watchers: Vec<CatalogWatcher>,
    site: SchedulerSite,
    meter: LoadMeter,
    counters: ProcessCounters,
}

/// Runs the service until its ring is closed.
///
/// # Errors
/// Fails if a service that it sends to is not registered.
pub fn run(
    ring: &RingReceiver<SchedulingMessage>,
    registry: &Registry<ServiceName>,
    context: &ServiceContext,
    kind: SchedulerKind,
    limits: ScheduleLimits,
) -> Result<(), KernelError> {
    let clock = context.clock.clone();
    let site = match kind {
        SchedulerKind::Control => {
            SchedulerSite::Control(registry.find(ServiceName::ReplicatedLog)?)
        }
        SchedulerKind::Entry => SchedulerSite::Entry,
    };
    let state = JobScheduling {
        log: context.event_log(registry)?,
        clock: clock.clone(),
        scheduler: Scheduler::new(clock.now(), kind, limits),
        hint: LeaderHint::default(),
        edge: registry.find(ServiceName::ScheduleEdge)?,
        waiting_callers: IndexMap::new(),
        catalog_watchers: Vec::new(),
        site,
        meter: LoadMeter::new(clock.now()),
        counters: context.counters.clone(),
    };
    let duty = BatchHandler { state, receive, on_deadline, settle, next_deadline };
    run_batched_duty(ring, &clock, duty);
    Ok(())
}

fn next_deadline(state: &JobScheduling) -> Option<Instant> {
    let watch_deadline = state.catalog_watchers.iter().map(|watcher| watcher.deadline).min();
    [state.scheduler.next_deadline(), watch_deadline].into_iter().flatten().min()
}

fn receive(state: &mut JobScheduling, now: Instant, message: SchedulingMessage) {
    state.meter.count(now, &message);
    state.on_message(now, message);
}

fn on_deadline(state: &mut JobScheduling, now: Instant) {
    state.scheduler.on_idle(now);
}

fn settle(state: &mut JobScheduling, now: Instant) {
    let steps = state.scheduler.settle(now);
    state.execute_steps(steps);
    state.answer_catalog_watchers(now);
    let lines = state.meter.take_lines(now, &mut state.scheduler);
    if !lines.is_empty() && state.scheduler.uses_interference() {
        state.counters.set_learned_pairs(state.scheduler.learned_pairs());
    }
    for line in lines {
        state.log.summary(line);
    }
}

impl JobScheduling {
    fn on_message(&mut self, now: Instant, message: SchedulingMessage) {
        match message {
            SchedulingMessage::Job { call, arrived_at, mut job, reply } => {
                let lag = now.saturating_duration_since(arrived_at);
                job.shorten_wait(lag);
                self.on_job(now, call, &job, reply);
            }
            SchedulingMessage::CallerDisconnected { call } => {
                self.waiting_callers.swap_remove(&call);
                self.scheduler.on_abandoned(now, call);
            }
            SchedulingMessage::Drain { until } => self.scheduler.on_drain(now, until),
            SchedulingMessage::Agent { link, message } => {
                self.scheduler.on_agent_message(now, link, &message);
            }
            SchedulingMessage::LinkLost { link } => self.scheduler.on_link_lost(now, link),
            SchedulingMessage::Catalog { catalog } => self.scheduler.on_catalog(&catalog),
            SchedulingMessage::CatalogWatch { call, query, reply } => {
                self.scheduler.on_entry(now, &query.entry);
                let deadline = now + CATALOG_WATCH_TIMEOUT;
                let CatalogQuery { version, group_version, evacuation_version, .. } = query;
                let watcher = CatalogWatcher {
                    call,
                    version,
                    group_version,
                    evacuation_version,
                    deadline,
                    reply,
                };
                self.catalog_watchers.push(watcher);
            }
            SchedulingMessage::Servers { call, reply } => {
                let answer = ControlAnswer::Servers(self.scheduler.known_servers());
                send_reply(reply, call, ControlReplyBody::Answer(Box::new(answer)));
            }
            SchedulingMessage::Applied { records } => {
                self.scheduler.on_applied(now, &records);
            }
            SchedulingMessage::Evacuation { list } => self.scheduler.on_evacuation(&list),
            SchedulingMessage::Restored { state } => self.scheduler.on_restored(*state),
            SchedulingMessage::Leading { term, hint } => {
                self.hint = hint.clone();
                self.scheduler.on_leadership(now, term);
                self.scheduler.on_controls(now, hint);
            }
        }
    }

    fn on_job(&mut self, now: Instant, call: CallId, job: &JobCall, reply: JobReplySlot) {
        match self.scheduler.on_job_call(now, call, job) {
            JobDecision::Wait => {
                self.waiting_callers.insert(call, reply);
            }
            JobDecision::Reply(body) => send_job_reply(reply, call, body),
            JobDecision::NotLeader => self.reject_not_leader(reply, call),
            JobDecision::Commit(command) => self.propose(call, command, reply),
        }
    }

    /// Proposes the command of a call, which the replicated log answers. Nothing
    /// is proposed at an entry, whose scheduler receives best-effort jobs only.
    fn propose(&self, call: CallId, command: Command, slot: JobReplySlot) {
        let (SchedulerSite::Control(log), JobReplySlot::Peer(reply)) = (&self.site, slot) else {
            return;
        };
        let message = LogMessage::Propose { call, commands: vec![command], reply };
        let Err(error) = log.push(message) else { return };
        let (PushError::Full { message } | PushError::Closed { message }) = error;
        if let LogMessage::Propose { call, reply, .. } = message {
            // The log's ring is full or closed, so nothing was proposed.
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ReplicatedLog));
            send_reply(reply, call, self.not_leader());
        }
    }

    fn reject_not_leader(&self, slot: JobReplySlot, call: CallId) {
        match slot {
            JobReplySlot::Peer(reply) => send_reply(reply, call, self.not_leader()),
            JobReplySlot::Front(_) => send_job_reply(slot, call, JobReply::Unclear),
        }
    }

    fn not_leader(&self) -> ControlReplyBody {
        ControlReplyBody::NotLeader(self.hint.clone())
    }

    fn execute_steps(&mut self, steps: Vec<ScheduleStep>) {
        for step in steps {
            match step {
                ScheduleStep::Propose(commands) => self.propose_without_reply(commands),
                ScheduleStep::Orders { link, orders } => {
                    self.meter.count_sent(&orders);
                    self.send_to_agent(link, SchedulerMessage::Orders(orders));
                }
                ScheduleStep::JobEnd { call, reply: body } => {
                    if let Some(slot) = self.waiting_callers.swap_remove(&call) {
                        send_job_reply(slot, call, body);
                    }
                }
                ScheduleStep::CloseLink { link } => {
                    let hint = self.hint.clone();
                    self.send_to_agent(link, SchedulerMessage::Closed(hint));
                }
                ScheduleStep::Log(line) => self.log.info(line),
            }
        }
    }

    /// Sends a message to an agent. Orders that the full ring refuses are lost with the
    /// agent's session: its next one begins with the list of its runs.
    fn send_to_agent(&mut self, link: LinkId, message: SchedulerMessage) {
        if self.edge.push(ScheduleEdgeMessage::Send { link, message }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ScheduleEdge));
            self.scheduler.on_link_lost(self.clock.now(), link);
        }
    }

    fn propose_without_reply(&self, commands: Vec<Command>) {
        let SchedulerSite::Control(log) = &self.site else { return };
        if log.push(LogMessage::ProposeDetached { commands }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ReplicatedLog));
        }
    }

    /// Answers each watch as soon as a newer catalog, group or list of evacuated domains is in
    /// force, and without one at its deadline. Only the leader reports them: another host may
    /// hold a stale one.
    fn answer_catalog_watchers(&mut self, now: Instant) {
        if self.catalog_watchers.is_empty() {
            return;
        }
        let is_leader = self.scheduler.term().is_some();
        let catalog = self.scheduler.catalog();
        let latest_version = catalog.as_ref().map_or(0, |catalog| catalog.version);
        for watcher in std::mem::take(&mut self.catalog_watchers) {
            let is_newer = |known: (Term, LogIndex)| self.hint.group_version() > known;
            let known = watcher.evacuation_version;
            let evacuation = known.and_then(|known| self.scheduler.evacuation_since(known));
            // Before the catalog, without which the entry places nothing.
            let body = if !is_leader {
                self.not_leader()
            } else if let Some(list) = evacuation {
                ControlReplyBody::Evacuation(list)
            } else if latest_version > watcher.version {
                ControlReplyBody::Catalog(catalog.clone())
            } else if watcher.group_version.is_some_and(is_newer) {
                ControlReplyBody::Group(self.hint.clone())
            } else if watcher.deadline <= now {
                ControlReplyBody::Catalog(None)
            } else {
                self.catalog_watchers.push(watcher);
                continue;
            };
            send_reply(watcher.reply, watcher.call, body);
        }
    }
}

fn send_reply(reply: Reservation<ControlReply>, call: CallId, body: ControlReplyBody) {
    reply.push(ControlReply { call, body });
}

fn send_job_reply(slot: JobReplySlot, call: CallId, reply: JobReply) {
    match slot {
        JobReplySlot::Peer(reserved) => send_reply(reserved, call, ControlReplyBody::Job(reply)),
        JobReplySlot::Front(reserved) => reserved.push(QueueFrontMessage::Answer { call, reply }),
    }
}
