//! Service that grants leases to entries and agents at a control host.
//!
//! It drives [`MembershipTracker`]: a node's watch renews the node's lease, and
//! only joins, lease expirations and fences in force are proposed to the
//! replicated log.

use std::time::{Duration, Instant};

use decisions::control::{MembershipStep, MembershipTracker};
use indexmap::IndexMap;
use kernel::{DutyHandler, KernelError, Registry, Reservation, RingReceiver, RingSender, run_duty};
use model::{
    CallId, Command, ControlReply, ControlReplyBody, EventLine, EventLog, LeaderHint, LogMessage,
    MembershipMessage, ServiceName,
};

use crate::context::ServiceContext;

struct Membership {
    log: EventLog,
    tracker: MembershipTracker,
    /// The leader and the group, as far as this host knows them.
    hint: LeaderHint,
    pending_replies: IndexMap<CallId, Reservation<ControlReply>>,
    replicated_log: RingSender<LogMessage>,
}

/// Runs the service until its ring is closed.
///
/// # Errors
/// Fails if a service that it sends to is not registered.
pub fn run(
    ring: &RingReceiver<MembershipMessage>,
    registry: &Registry<ServiceName>,
    context: &ServiceContext,
    lease: Duration,
) -> Result<(), KernelError> {
    let state = Membership {
        log: context.event_log(registry)?,
        tracker: MembershipTracker::new(lease),
        hint: LeaderHint::default(),
        pending_replies: IndexMap::new(),
        replicated_log: registry.find(ServiceName::ReplicatedLog)?,
    };
    run_duty(ring, &context.clock, DutyHandler { state, handle, next_deadline });
    Ok(())
}

fn next_deadline(state: &Membership) -> Option<Instant> {
    state.tracker.next_deadline()
}

fn handle(state: &mut Membership, now: Instant, message: Option<MembershipMessage>) {
    if let Some(message) = message {
        let steps = state.on_message(now, message);
        state.execute_steps(steps);
    }
    let is_due = state.tracker.next_deadline().is_some_and(|at| at <= now);
    if is_due {
        let steps = state.tracker.on_tick(now);
        state.execute_steps(steps);
    }
}

impl Membership {
    fn on_message(&mut self, now: Instant, message: MembershipMessage) -> Vec<MembershipStep> {
        match message {
            MembershipMessage::Watch { call, watch, reply } => {
                self.pending_replies.insert(call, reply);
                self.tracker.on_watch(now, call, *watch)
            }
            MembershipMessage::Applied { snapshot } => self.tracker.on_state(now, snapshot),
            MembershipMessage::Leading { term, hint } => {
                self.hint = hint;
                self.tracker.on_leadership(now, term)
            }
            MembershipMessage::Reports { call, reply } => {
                let members = self.tracker.reports(now);
                let message = LogMessage::MemberReports { call, members, reply };
                if self.replicated_log.push(message).is_err() {
                    self.log.warn(EventLine::new("status_dropped"));
                }
                Vec::new()
            }
        }
    }

    fn execute_steps(&mut self, steps: Vec<MembershipStep>) {
        let mut commands: Vec<Command> = Vec::new();
        for step in steps {
            match step {
                MembershipStep::Reply { call, view } => {
                    self.answer(call, ControlReplyBody::View(view));
                }
                MembershipStep::NotLeader { call } => {
                    let hint = self.hint.clone();
                    self.answer(call, ControlReplyBody::NotLeader(hint));
                }
                MembershipStep::Propose(command) => commands.push(command),
            }
        }
        self.propose(commands);
    }

    fn answer(&mut self, call: CallId, body: ControlReplyBody) {
        if let Some(reply) = self.pending_replies.swap_remove(&call) {
            reply.push(ControlReply { call, body });
        }
    }

    fn propose(&self, commands: Vec<Command>) {
        if commands.is_empty() {
            return;
        }
        for command in &commands {
            self.log.info(membership_event(command));
        }
        if self.replicated_log.push(LogMessage::ProposeDetached { commands }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ReplicatedLog));
        }
    }
}

fn membership_event(command: &Command) -> EventLine {
    match command {
        Command::Join { member } => EventLine::new("member_joins")
            .with("node", &member.node)
            .with("role", member.role)
            .with("incarnation", member.incarnation),
        Command::ExpireMember { node, incarnation } => {
            EventLine::new("member_lapses").with("node", node).with("incarnation", incarnation)
        }
        Command::FenceInForce { entry, incarnation } => {
            EventLine::new("fence_in_force").with("entry", entry).with("incarnation", incarnation)
        }
        _ => EventLine::new("membership_change"),
    }
}
