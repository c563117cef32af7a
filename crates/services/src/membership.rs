//! The duty that grants leases at a control host.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use decisions::control::{MembershipDesk, MembershipStep};
use indexmap::IndexMap;
use kernel::{DutyState, KernelError, Registry, Reservation, RingReceiver, RingSender, serve};
use model::{
    CallId, Command, ControlReply, ControlReplyBody, EventLine, EventLog, LogMessage,
    MembershipMessage, ServiceName,
};

use crate::context::ServiceContext;

struct Membership {
    log: EventLog,
    desk: MembershipDesk,
    leader: Option<SocketAddr>,
    replies: IndexMap<CallId, Reservation<ControlReply>>,
    replicated: RingSender<LogMessage>,
}

/// Runs the duty until its ring is closed.
///
/// # Errors
/// When a service that it needs is not registered.
pub fn run(
    ring: &RingReceiver<MembershipMessage>,
    registry: &Registry<ServiceName>,
    context: &ServiceContext,
    lease: Duration,
) -> Result<(), KernelError> {
    let state = Membership {
        log: context.event_log(registry)?,
        desk: MembershipDesk::new(lease),
        leader: None,
        replies: IndexMap::new(),
        replicated: registry.find(ServiceName::ReplicatedLog)?,
    };
    serve(ring, &context.clock, DutyState { state, handle, next_deadline });
    Ok(())
}

fn next_deadline(state: &Membership) -> Option<Instant> {
    state.desk.next_deadline()
}

fn handle(state: &mut Membership, now: Instant, message: Option<MembershipMessage>) {
    if let Some(message) = message {
        let steps = state.on_message(now, message);
        state.carry_out(steps);
    }
    let due = state.desk.next_deadline().is_some_and(|at| at <= now);
    if due {
        let steps = state.desk.on_tick(now);
        state.carry_out(steps);
    }
}

impl Membership {
    fn on_message(&mut self, now: Instant, message: MembershipMessage) -> Vec<MembershipStep> {
        match message {
            MembershipMessage::Watch { call, watch, reply } => {
                self.replies.insert(call, reply);
                self.desk.on_watch(now, call, *watch)
            }
            MembershipMessage::Applied { snapshot } => self.desk.on_state(now, snapshot),
            MembershipMessage::Leading { term, leader } => {
                self.leader = leader;
                self.desk.on_leading(now, term)
            }
            MembershipMessage::Reports { call, reply } => {
                let members = self.desk.reports(now);
                let message = LogMessage::MemberReports { call, members, reply };
                if self.replicated.push(message).is_err() {
                    self.log.warn(EventLine::new("status_dropped"));
                }
                Vec::new()
            }
        }
    }

    fn carry_out(&mut self, steps: Vec<MembershipStep>) {
        let mut commands: Vec<Command> = Vec::new();
        for step in steps {
            match step {
                MembershipStep::Answer { call, view } => {
                    self.answer(call, ControlReplyBody::View(view));
                }
                MembershipStep::NotLeader { call } => {
                    let leader = self.leader;
                    self.answer(call, ControlReplyBody::NotLeader { leader });
                }
                MembershipStep::Propose(command) => commands.push(command),
            }
        }
        self.propose(commands);
    }

    fn answer(&mut self, call: CallId, body: ControlReplyBody) {
        if let Some(room) = self.replies.swap_remove(&call) {
            room.push(ControlReply { call, body });
        }
    }

    fn propose(&self, commands: Vec<Command>) {
        if commands.is_empty() {
            return;
        }
        for command in &commands {
            self.log.info(describe(command));
        }
        if self.replicated.push(LogMessage::ProposeQuietly { commands }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ReplicatedLog));
        }
    }
}

fn describe(command: &Command) -> EventLine {
    match command {
        Command::Join { member } => EventLine::new("member_joins")
            .with("node", &member.node)
            .with("role", member.role)
            .with("incarnation", member.incarnation),
        Command::Lapse { node, incarnation } => {
            EventLine::new("member_lapses").with("node", node).with("incarnation", incarnation)
        }
        Command::FenceInForce { entry, incarnation } => {
            EventLine::new("fence_in_force").with("entry", entry).with("incarnation", incarnation)
        }
        _ => EventLine::new("membership_change"),
    }
}
