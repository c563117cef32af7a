//! The duty that orders commands and applies them to the replicated state.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use decisions::control::ControlState;
use kernel::{DutyState, KernelError, Registry, RingReceiver, RingSender, serve};
use model::{
    Command, CommandResult, ControlAnswer, ControlQuery, ControlReply, ControlReplyBody,
    ControlStatus, EventLine, EventLog, LogMessage, LogRecord, MemberStatus, MembershipMessage,
    NodeId, ServiceName,
};

use crate::context::ServiceContext;

struct ReplicatedLog {
    context: ServiceContext,
    log: EventLog,
    name: NodeId,
    state: ControlState,
    membership: RingSender<MembershipMessage>,
}

/// Runs the duty until its ring is closed.
///
/// # Errors
/// When a service that it needs is not registered.
pub fn run(
    ring: &RingReceiver<LogMessage>,
    registry: &Registry<ServiceName>,
    context: ServiceContext,
    name: NodeId,
) -> Result<(), KernelError> {
    let clock = context.clock.clone();
    let state = ReplicatedLog {
        log: context.event_log(registry)?,
        name,
        state: ControlState::default(),
        membership: registry.find(ServiceName::Membership)?,
        context,
    };
    state.tell_membership(MembershipMessage::Leading { term: Some(1), leader: None });
    serve(ring, &clock, DutyState { state, handle, next_deadline });
    Ok(())
}

fn next_deadline(_state: &ReplicatedLog) -> Option<Instant> {
    None
}

fn handle(state: &mut ReplicatedLog, _now: Instant, message: Option<LogMessage>) {
    match message {
        Some(LogMessage::Propose { call, commands, reply }) => {
            let results = state.apply_all(commands);
            reply.push(ControlReply { call, body: ControlReplyBody::Results(results) });
        }
        Some(LogMessage::ProposeQuietly { commands }) => {
            state.apply_all(commands);
        }
        Some(LogMessage::Query { call, query: ControlQuery::Status, reply }) => {
            state.tell_membership(MembershipMessage::Reports { call, reply });
        }
        Some(LogMessage::Query { call, query, reply }) => {
            let answer = state.answer(&query);
            reply.push(ControlReply { call, body: ControlReplyBody::Answer(Box::new(answer)) });
        }
        Some(LogMessage::MemberReports { call, members, reply }) => {
            let answer = ControlAnswer::Status(state.status(members));
            reply.push(ControlReply { call, body: ControlReplyBody::Answer(Box::new(answer)) });
        }
        _ => {}
    }
}

impl ReplicatedLog {
    fn apply_all(&mut self, commands: Vec<Command>) -> Vec<CommandResult> {
        let before = self.state.versions();
        let results: Vec<CommandResult> =
            commands.into_iter().map(|command| self.apply(command)).collect();
        let after = self.state.versions();
        if before.config != after.config || before.members != after.members {
            let snapshot = Arc::new(self.state.membership());
            self.tell_membership(MembershipMessage::Applied { snapshot });
        }
        results
    }

    fn apply(&mut self, command: Command) -> CommandResult {
        let index = self.state.versions().applied + 1;
        let at_ms = millis(self.context.clock.calendar());
        self.state.apply(&LogRecord { index, term: 1, at_ms, command })
    }

    fn tell_membership(&self, message: MembershipMessage) {
        if self.membership.push(message).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::Membership));
        }
    }

    fn answer(&self, query: &ControlQuery) -> ControlAnswer {
        match query {
            ControlQuery::Status => ControlAnswer::Status(self.status(Vec::new())),
            ControlQuery::Config => {
                ControlAnswer::Config(self.state.config().map(|config| (*config).clone()))
            }
            ControlQuery::History => ControlAnswer::History(self.state.history()),
            ControlQuery::Figures { month } => ControlAnswer::Figures(self.state.month(month)),
        }
    }

    fn status(&self, members: Vec<MemberStatus>) -> ControlStatus {
        ControlStatus {
            host: self.name.clone(),
            term: 1,
            commit: self.state.versions().applied,
            group: Vec::new(),
            config_version: self.state.config_version(),
            replicas: Vec::new(),
            members,
        }
    }
}

fn millis(moment: SystemTime) -> u64 {
    let since = moment.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
