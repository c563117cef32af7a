//! How long runs outlast the grant of their scheduler while other schedulers let the agent
//! renew the lease, which is one for all runs of a backend server. Guards against runs of
//! an entry that was killed, which go on beside those that another entry starts when the
//! callers send their jobs again, and against healthy runs that lapse with others.

use std::time::{Duration, Instant};

use model::{
    AgentOrder, AgentOrders, EndKind, JobPhase, JobReply, ResourceAmount, RunUpdate, SchedulerKey,
    ServerAnswer, ServerCall, ServerRequest, SessionId, TaskRun,
};

use crate::agent_fixture::{AgentFixture, entry, is_renewal, run, run_of};
use crate::schedule_model::{CallStatus, ScheduleModel, job};
use crate::server_model::ServerModel;

const STEP: Duration = Duration::from_millis(10);
/// Time after which a caller sends a job again whose connection broke.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);
/// Interval of an agent's messages to an entry of which it has runs.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(350);
const ENTRY_GRANT: Duration = Duration::from_secs(1);
const CONTROL_GRANT: Duration = Duration::from_secs(4);
const ENTRY_SESSION: SessionId = 1;
const CONTROL_SESSION: SessionId = 2;
/// Reading of the backend server's clock at the start, as the fixture's heartbeats say.
const SERVER_CLOCK: Duration = Duration::from_secs(5);

/// An agent and its backend server, with one run of an entry and one of control.
struct LeaseModel {
    agent: AgentFixture,
    server: ServerModel,
    /// Calls that are not answered yet, and when they are.
    pending: Vec<(Instant, ServerCall)>,
    /// How long a stop takes on its way; `None` while stops get lost.
    stop_time: Option<Duration>,
    /// When the agent sent the latest message that the entry has acknowledged.
    last_contact: Instant,
}

impl LeaseModel {
    fn new() -> LeaseModel {
        let mut agent = AgentFixture::new();
        let steps = agent.table.on_opened(agent.now, SchedulerKey::Control, CONTROL_SESSION);
        agent.apply_steps(steps);
        let server = ServerModel::new(agent.now - SERVER_CLOCK, 1, 4);
        let (pending, last_contact) = (Vec::new(), agent.now);
        let mut model = LeaseModel { agent, server, pending, stop_time: None, last_contact };
        model.grant_control(vec![start(run_of(1))]);
        model.grant_entry(model.agent.now, vec![start(run())]);
        model.step();
        model.step();
        assert_eq!(model.server.runs.len(), 2);
        model
    }

    /// Sends orders that acknowledge a message which the agent sent at `sent_at`.
    fn send_orders(
        &mut self,
        scheduler: &SchedulerKey,
        session: SessionId,
        sent_at: Instant,
        grant: Duration,
        orders: Vec<AgentOrder>,
    ) {
        let orders = AgentOrders {
            term: 0,
            received: 1,
            grant_ms: grant.as_millis() as u64,
            usage_interval_ms: 50,
            ack: None,
            orders,
            claims: None,
            entries: None,
            controls: None,
            evacuated: None,
            watched_kinds: None,
        };
        let now = self.agent.now;
        let steps = self.agent.table.on_orders(now, scheduler, session, sent_at, orders);
        self.agent.apply_steps(steps);
    }

    fn grant_entry(&mut self, sent_at: Instant, orders: Vec<AgentOrder>) {
        self.last_contact = sent_at;
        self.send_orders(&entry(), ENTRY_SESSION, sent_at, ENTRY_GRANT, orders);
    }

    fn grant_control(&mut self, orders: Vec<AgentOrder>) {
        let now = self.agent.now;
        self.send_orders(&SchedulerKey::Control, CONTROL_SESSION, now, CONTROL_GRANT, orders);
    }

    /// Carries out a call when it arrives; a renewal is answered after its wait.
    fn send(&mut self, call: ServerCall) {
        let now = self.agent.now;
        match &call.request {
            ServerRequest::Start { .. } => self.pending.push((now, call)),
            ServerRequest::Stop { .. } => match self.stop_time {
                Some(time) => self.pending.push((now + time, call)),
                None => self.agent.answer(&call, ServerAnswer::NoAnswer),
            },
            ServerRequest::RenewLease { wait, .. } => {
                self.server.handle_call(now, &call, Duration::ZERO);
                self.pending.push((now + *wait, call));
            }
        }
    }

    fn step(&mut self) {
        while let Some(call) = self.agent.take_call(|_| true) {
            self.send(call);
        }
        self.agent.advance(STEP);
        let now = self.agent.now;
        self.server.advance(now);
        let has_ends = !self.server.unacked_ends.is_empty();
        let is_due = |(at, call): &mut (Instant, ServerCall)| {
            *at <= now || has_ends && is_renewal(&call.request)
        };
        let due: Vec<_> = self.pending.extract_if(.., is_due).collect();
        for (_, mut call) in due {
            if is_renewal(&call.request) {
                // The lease is that of its arrival.
                call.lease_until = None;
            }
            let answer = self.server.handle_call(now, &call, Duration::from_secs(60));
            self.agent.answer(&call, answer);
        }
        self.grant_control(Vec::new());
    }

    fn runs(&self, run: &TaskRun) -> bool {
        self.server.runs.contains_key(&run.to_string())
    }
}

fn start(run: TaskRun) -> AgentOrder {
    let size = ResourceAmount { cpu_milli: 500, memory_mb: 1, accelerators: 0 };
    AgentOrder::Start {
        life: "i-1/7".into(),
        runs: vec![run],
        spec: "work".to_owned(),
        size,
        estimate_ms: None,
        queue: None,
    }
}

/// Guards against a run that the grants of others keep active, when its stop gets lost.
#[test]
fn runs_end_with_grant() {
    let mut model = LeaseModel::new();
    for _ in 0..4 {
        while model.agent.now < model.last_contact + HEARTBEAT_INTERVAL {
            model.step();
        }
        model.grant_entry(model.agent.now, Vec::new());
    }
    while model.agent.now < model.last_contact + RESEND_DELAY {
        model.step();
    }
    assert!(!model.runs(&run()), "the run is active when its caller sends the job again");
}

/// Guards against leases that are not renewed in time, once they end with a grant.
#[test]
fn late_acks_spare_runs() {
    for late_ms in [0, 200, 400, 580] {
        let late = Duration::from_millis(late_ms);
        let mut model = LeaseModel::new();
        let mut sent_at = model.last_contact;
        let mut unacked = Vec::new();
        let end = sent_at + Duration::from_secs(8);
        while model.agent.now < end {
            let now = model.agent.now;
            if sent_at + HEARTBEAT_INTERVAL <= now {
                sent_at = now;
                unacked.push(now);
            }
            let acked: Vec<_> = unacked.extract_if(.., |at| *at + late <= now).collect();
            for acked_at in acked {
                model.grant_entry(acked_at, Vec::new());
            }
            model.step();
            let is_active = model.runs(&run()) && model.runs(&run_of(1));
            assert!(is_active, "{late_ms} ms: {:?}", model.agent.updates);
        }
    }
}

/// Guards against runs of other schedulers that lapse with those whose grant has ended.
#[test]
fn ended_grant_spares_others() {
    for stop_ms in [0, 20, 50, 120] {
        let mut model = LeaseModel::new();
        model.stop_time = Some(Duration::from_millis(stop_ms));
        let begin = model.agent.now;
        while model.agent.now < begin + Duration::from_secs(4) {
            model.step();
            assert!(model.runs(&run_of(1)), "{stop_ms} ms: {:?}", model.agent.updates);
        }
        let is_stopped = |update: &RunUpdate| match update {
            RunUpdate::Ended { run: ended, kind, .. } => {
                *ended == run() && *kind == EndKind::Stopped
            }
            RunUpdate::Refused { .. } => false,
        };
        assert!(model.agent.updates.iter().any(is_stopped), "{:?}", model.agent.updates);
    }
}

/// Guards against runs that lapse after the restart of their agent, though their scheduler
/// has claimed them: a renewal that waits was sent before that, and gave no lease.
#[test]
fn claimed_lease_renewed() {
    let mut agent = AgentFixture::new();
    let before = agent.take_pending_renewal();
    agent.advance(Duration::from_millis(800));
    // What a former process gave the run lasts a little longer.
    agent.answer(&before, ServerAnswer::Lists { running: vec![run()], ended: Vec::new() });
    let waiting = agent.take_pending_renewal();
    assert_eq!(waiting.lease_until, None, "nobody has claimed the run");
    agent.order(vec![AgentOrder::Keep { run: run() }]);
    let renewal = agent.take_call(is_renewal).expect("the lease is renewed at once");
    assert!(renewal.lease_until.is_some());
}

const AGENTS: usize = 3;
const DEAD_ENTRY: usize = 1;
const OTHER_ENTRY: usize = 2;

/// What becomes of the agents some time after the entry.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AgentFault {
    /// They are killed, and start again.
    Killed,
    /// They stand still for a while.
    Frozen,
}

/// Plays a step; the dead entry has no connections.
fn step(model: &mut ScheduleModel, entry_lives: bool) {
    let live = (0..AGENTS).filter(|agent| !model.is_frozen(*agent)).collect::<Vec<_>>();
    for agent in live {
        for scheduler in (0..=OTHER_ENTRY).filter(|number| entry_lives || *number != DEAD_ENTRY) {
            model.connect(scheduler, agent);
        }
        model.heartbeat(agent);
        for _ in 0..model.calls_in_transit(agent) {
            model.deliver(agent, 0, false);
        }
    }
    // Calls of an agent that was killed arrive all the same.
    while model.delayed_calls() > 0 {
        model.deliver_delayed(0);
    }
    model.commit();
    model.advance(STEP);
}

/// Steps until this time after the death of the entry.
fn play_until(model: &mut ScheduleModel, until: Instant) {
    while model.now < until {
        step(model, false);
    }
}

/// Kills an entry, lets all agents fail `fault_after` that for `fault_time`, and sends the
/// jobs of the entry again to the other one.
fn play_deaths(fault: AgentFault, fault_after: Duration, fault_time: Duration) {
    let mut model = ScheduleModel::new(2, AGENTS);
    model.run_time = Duration::from_secs(3);
    model.caller_wait = Duration::from_secs(6);
    let jobs: Vec<_> = (1..=4).map(|number| job(number, 2, true)).collect();
    for job in &jobs {
        model.submit(DEAD_ENTRY, job.clone());
    }
    for _ in 0..40 {
        step(&mut model, true);
    }
    assert_eq!(model.running(), 8);
    let died_at = model.now;
    model.restart_entry(DEAD_ENTRY);
    play_until(&mut model, died_at + fault_after);
    for agent in 0..AGENTS {
        if fault == AgentFault::Killed {
            model.restart_agent(agent);
        }
        model.freeze_agent(agent);
    }
    let back_at = died_at + fault_after + fault_time;
    play_until(&mut model, back_at.min(died_at + RESEND_DELAY));
    let mut is_back = false;
    let mut is_resent = false;
    // The model checks at each start that the task runs once at a time.
    while model.now < died_at + Duration::from_secs(5) {
        if !is_back && model.now >= back_at {
            is_back = true;
            for agent in 0..AGENTS {
                model.thaw_agent(agent);
            }
        }
        if !is_resent && model.now >= died_at + RESEND_DELAY {
            is_resent = true;
            assert_eq!(model.running(), 0, "{fault:?} after {fault_after:?} for {fault_time:?}");
            // In another order, so that tasks are placed on other agents than before.
            for job in jobs.iter().rev() {
                model.submit(OTHER_ENTRY, job.clone());
            }
        }
        step(&mut model, false);
    }
}

/// Guards against runs that a restarted agent finds active when their jobs are sent again:
/// the agent before it was still allowed to renew their lease.
#[test]
fn killed_agents_keep_none() {
    for fault_after in [520, 700, 900] {
        for fault_time in [100, 200, 300, 500] {
            let times = (Duration::from_millis(fault_after), Duration::from_millis(fault_time));
            play_deaths(AgentFault::Killed, times.0, times.1);
        }
    }
}

/// The same with agents that stand still and can't stop the runs in time.
#[test]
fn frozen_agents_keep_none() {
    for fault_after in [300, 520, 700, 900] {
        for fault_time in [400, 1_000, 2_000] {
            let times = (Duration::from_millis(fault_after), Duration::from_millis(fault_time));
            play_deaths(AgentFault::Frozen, times.0, times.1);
        }
    }
}

/// Guards against jobs of a healthy entry that are started again since another one died.
#[test]
fn other_entry_unharmed() {
    let mut model = ScheduleModel::new(2, AGENTS);
    model.run_time = Duration::from_secs(3);
    model.caller_wait = Duration::from_secs(6);
    let (lost, kept) = (job(1, 4, true), job(2, 4, true));
    model.submit(DEAD_ENTRY, lost);
    let call = model.submit(OTHER_ENTRY, kept.clone());
    for _ in 0..40 {
        step(&mut model, true);
    }
    assert_eq!(model.running(), 8);
    model.restart_entry(DEAD_ENTRY);
    let died_at = model.now;
    play_until(&mut model, died_at + Duration::from_secs(4));
    assert_eq!(model.replies[&call], CallStatus::Reply(JobReply::Phase(JobPhase::Completed)));
    let starts = model.starts.iter().filter(|(task, _)| task.job == kept.id);
    assert!(starts.clone().count() == 4 && starts.clone().all(|(_, starts)| *starts == 1));
}
