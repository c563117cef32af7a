//! The duty that schedules queued jobs: on a control host while it leads, on an
//! entry for its own callers.
//!
//! Invariants:
//! - a job is accepted only by a committed record;
//! - calls that wait are answered when this host ceases to lead.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use decisions::schedule::{JobDecision, ScheduleLimits, ScheduleStep, Scheduler, SchedulerKind};
use indexmap::IndexMap;
use kernel::{
    DutyState, KernelError, PushError, Registry, Reservation, RingReceiver, RingSender, serve,
};
use model::{
    CallId, Command, ConfigVersion, ControlReply, ControlReplyBody, EventLine, EventLog, JobCall,
    JobReply, JobSlot, LogMessage, QueueFrontMessage, SchedulingMessage, ServiceName,
};

use crate::context::ServiceContext;

/// How long an entry's question for a newer catalog waits.
const CATALOG_WAIT: Duration = Duration::from_millis(700);

struct CatalogWatcher {
    call: CallId,
    version: ConfigVersion,
    answer_at: Instant,
    reply: Reservation<ControlReply>,
}

/// Where a scheduler runs, with what only that place has.
enum SchedulePlace {
    /// A control host, with its replicated log.
    Control(RingSender<LogMessage>),
    /// An entry.
    Entry,
}

struct JobScheduling {
    log: EventLog,
    scheduler: Scheduler,
    leader: Option<SocketAddr>,
    polls: IndexMap<CallId, Reservation<ControlReply>>,
    /// Callers of best-effort jobs that wait.
    callers: IndexMap<CallId, JobSlot>,
    watchers: Vec<CatalogWatcher>,
    place: SchedulePlace,
}

/// Runs the duty until its ring is closed.
///
/// # Errors
/// When a service that it needs is not registered.
pub fn run(
    ring: &RingReceiver<SchedulingMessage>,
    registry: &Registry<ServiceName>,
    context: &ServiceContext,
    kind: SchedulerKind,
    limits: ScheduleLimits,
) -> Result<(), KernelError> {
    let clock = context.clock.clone();
    let place = match kind {
        SchedulerKind::Control => {
            SchedulePlace::Control(registry.find(ServiceName::ReplicatedLog)?)
        }
        SchedulerKind::Entry => SchedulePlace::Entry,
    };
    let state = JobScheduling {
        log: context.event_log(registry)?,
        scheduler: Scheduler::new(clock.now(), kind, limits),
        leader: None,
        polls: IndexMap::new(),
        callers: IndexMap::new(),
        watchers: Vec::new(),
        place,
    };
    serve(ring, &clock, DutyState { state, handle, next_deadline });
    Ok(())
}

fn next_deadline(state: &JobScheduling) -> Option<Instant> {
    let watch = state.watchers.iter().map(|watcher| watcher.answer_at).min();
    [state.scheduler.next_deadline(), watch].into_iter().flatten().min()
}

fn handle(state: &mut JobScheduling, now: Instant, message: Option<SchedulingMessage>) {
    match message {
        Some(message) => state.on_message(now, message),
        None => {
            let steps = state.scheduler.on_tick(now);
            state.carry_out(steps);
        }
    }
    state.answer_watchers(now);
}

impl JobScheduling {
    fn on_message(&mut self, now: Instant, message: SchedulingMessage) {
        match message {
            SchedulingMessage::Job { call, job, reply } => self.on_job(now, call, &job, reply),
            SchedulingMessage::Abandoned { call } => {
                self.callers.swap_remove(&call);
                let steps = self.scheduler.on_abandoned(now, call);
                self.carry_out(steps);
            }
            SchedulingMessage::Report { call, report, reply } => {
                let (taken, steps) = self.scheduler.on_report(now, &report);
                let body = if taken { ControlReplyBody::ReportTaken } else { self.not_leader() };
                answer(reply, call, body);
                self.carry_out(steps);
            }
            SchedulingMessage::Poll { call, poll, reply } => {
                self.polls.insert(call, reply);
                let steps = self.scheduler.on_poll(now, call, &poll);
                self.carry_out(steps);
            }
            SchedulingMessage::Catalog { catalog } => self.scheduler.on_catalog(&catalog),
            SchedulingMessage::CatalogWatch { call, question, reply } => {
                let steps = self.scheduler.on_entry(now, &question.entry);
                self.carry_out(steps);
                let answer_at = now + CATALOG_WAIT;
                let version = question.version;
                self.watchers.push(CatalogWatcher { call, version, answer_at, reply });
            }
            SchedulingMessage::Applied { records } => {
                let steps = self.scheduler.on_applied(now, &records);
                self.carry_out(steps);
            }
            SchedulingMessage::Restored { state } => self.scheduler.on_restored(*state),
            SchedulingMessage::Leading { term, leader } => {
                self.leader = leader;
                let steps = self.scheduler.on_leading(now, term);
                self.carry_out(steps);
            }
        }
    }

    fn on_job(&mut self, now: Instant, call: CallId, job: &JobCall, reply: JobSlot) {
        match self.scheduler.on_job_call(now, call, job) {
            JobDecision::Wait => {
                self.callers.insert(call, reply);
            }
            JobDecision::Reply(body) => answer_job(reply, call, body),
            JobDecision::NotLeader => self.send_away(reply, call),
            JobDecision::Commit(command) => self.propose(call, command, reply),
        }
        let steps = self.scheduler.after_job_call(now);
        self.carry_out(steps);
    }

    fn propose(&self, call: CallId, command: Command, slot: JobSlot) {
        let (SchedulePlace::Control(log), JobSlot::Peer(reply)) = (&self.place, slot) else {
            return;
        };
        let message = LogMessage::Propose { call, commands: vec![command], reply };
        let Err(error) = log.push(message) else { return };
        let (PushError::Full { message } | PushError::Closed { message }) = error;
        if let LogMessage::Propose { call, reply, .. } = message {
            // The log has no room: nothing was proposed.
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ReplicatedLog));
            answer(reply, call, self.not_leader());
        }
    }

    fn send_away(&self, slot: JobSlot, call: CallId) {
        match slot {
            JobSlot::Peer(reply) => answer(reply, call, self.not_leader()),
            JobSlot::Front(_) => answer_job(slot, call, JobReply::Unclear),
        }
    }

    fn not_leader(&self) -> ControlReplyBody {
        ControlReplyBody::NotLeader { leader: self.leader }
    }

    fn carry_out(&mut self, steps: Vec<ScheduleStep>) {
        for step in steps {
            match step {
                ScheduleStep::Propose(commands) => self.propose_quietly(commands),
                ScheduleStep::Orders { call, orders } => {
                    if let Some(reply) = self.polls.swap_remove(&call) {
                        answer(reply, call, ControlReplyBody::Orders(Box::new(orders)));
                    }
                }
                ScheduleStep::JobEnd { call, reply: body } => {
                    if let Some(slot) = self.callers.swap_remove(&call) {
                        answer_job(slot, call, body);
                    }
                }
                ScheduleStep::DropPoll { call } => {
                    if let Some(reply) = self.polls.swap_remove(&call) {
                        answer(reply, call, self.not_leader());
                    }
                }
                ScheduleStep::Note(line) => self.log.info(line),
            }
        }
    }

    fn propose_quietly(&self, commands: Vec<Command>) {
        let SchedulePlace::Control(log) = &self.place else { return };
        if log.push(LogMessage::ProposeQuietly { commands }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ReplicatedLog));
        }
    }

    /// Entries learn of a newer catalog at once; only a leader's word counts.
    fn answer_watchers(&mut self, now: Instant) {
        if self.watchers.is_empty() {
            return;
        }
        let leads = self.scheduler.term().is_some();
        let catalog = self.scheduler.catalog();
        let newest = catalog.as_ref().map_or(0, |catalog| catalog.version);
        for watcher in std::mem::take(&mut self.watchers) {
            let CatalogWatcher { call, version, answer_at, reply } = watcher;
            if !leads {
                answer(reply, call, self.not_leader());
            } else if newest > version {
                answer(reply, call, ControlReplyBody::Catalog(catalog.clone()));
            } else if answer_at <= now {
                answer(reply, call, ControlReplyBody::Catalog(None));
            } else {
                self.watchers.push(CatalogWatcher { call, version, answer_at, reply });
            }
        }
    }
}

fn answer(reply: Reservation<ControlReply>, call: CallId, body: ControlReplyBody) {
    reply.push(ControlReply { call, body });
}

fn answer_job(slot: JobSlot, call: CallId, reply: JobReply) {
    match slot {
        JobSlot::Peer(room) => answer(room, call, ControlReplyBody::Job(reply)),
        JobSlot::Front(room) => room.push(QueueFrontMessage::Answer { call, reply }),
    }
}
