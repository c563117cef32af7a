//! Replays a trace against a cluster in this process: sends the calls at their
//! recorded times, injects the faults and collects the outcomes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use edges::duty_time::{duty_seconds, used_between};
use indexmap::IndexMap;
use model::{
    JobSubmission, LogSettings, MessageKind, OperatorConfig, Payload, RoutingPolicy, TaskSpec,
};
use serde::Deserialize;
use standin::{
    BackendServer, CallFailure, CallReply, Caller, LinkFault, Trace, TraceStep, precise_sleep,
    task_payload,
};
use strum::IntoEnumIterator;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::checks::find_violations;
use super::ideal::IdealTimes;
use super::local_cluster::{ClusterError, ClusterShape, LocalCluster};
use super::outcome::{CallAnswer, CallOutcome, ReplayReport, Slowdowns, count_failures};

/// The client's limit on every call; ends calls without a deadline of their own.
const MAX_CALL_TIME: Duration = Duration::from_secs(60);
/// Backend servers whose downtime has ended and that may wait for their restart.
const RESTART_CHANNEL_SLOTS: usize = 64;

/// Options of a replay.
pub struct PlayOptions<'a> {
    /// The operators' text.
    pub text: OperatorConfig,
    /// Routing policy that replaces the text's.
    pub policy: Option<RoutingPolicy>,
    /// Number of control hosts.
    pub controls: usize,
    /// Log settings of every role.
    pub log: LogSettings,
    /// Called after each event with the number of events played and their total.
    pub progress: &'a dyn Fn(usize, usize),
}

/// Replays a trace against a cluster that is started for it and stopped after
/// it.
///
/// # Errors
/// When the cluster can't be started.
pub fn play(trace: &Trace, options: PlayOptions<'_>) -> Result<ReplayReport, ClusterError> {
    let mut text = options.text;
    text.policy = options.policy.unwrap_or(text.policy);
    let policy = text.policy;
    let mut shape = ClusterShape::small(trace.header.instances.clone(), text);
    shape.controls = options.controls;
    shape.entries = trace.header.entries;
    shape.log = options.log;
    shape.faulty_links = trace.events.iter().any(|event| is_link_fault(&event.step));
    let mut cluster = LocalCluster::start(&shape)?;
    let messages_before = message_counts(&cluster);
    let seconds_before = duty_seconds();
    let started = Instant::now();
    let calls = play_events(trace, &mut cluster, options.progress);
    let last_event = trace.events.last().map_or(0, |event| event.at_ms);
    let last_event = started + Duration::from_millis(last_event);
    let starts = cluster.records.all();
    let violations = find_violations(&calls, &starts, &trace.expect, last_event);
    let messages = counts_between(&messages_before, &message_counts(&cluster));
    let seconds = started.elapsed().as_secs_f64();
    let used = used_between(&seconds_before, &duty_seconds());
    cluster.stop();
    let mut report = build_report(trace, policy, &calls, starts.len(), messages);
    report.violations = violations;
    report.seconds = seconds;
    report.duty_seconds = used;
    Ok(report)
}

fn is_link_fault(step: &TraceStep) -> bool {
    matches!(step, TraceStep::CutWorker { .. } | TraceStep::SilenceLinks { .. })
}

fn message_counts(cluster: &LocalCluster) -> IndexMap<MessageKind, u64> {
    MessageKind::iter().map(|kind| (kind, cluster.messages(kind))).collect()
}

/// Messages sent between two readings. A stopped agent is no longer counted, so
/// a later reading can be lower; its difference is then 0.
fn counts_between(
    before: &IndexMap<MessageKind, u64>,
    after: &IndexMap<MessageKind, u64>,
) -> IndexMap<MessageKind, u64> {
    let earlier = |kind: &MessageKind| before.get(kind).copied().unwrap_or(0);
    after.iter().map(|(kind, count)| (*kind, count.saturating_sub(earlier(kind)))).collect()
}

fn build_report(
    trace: &Trace,
    policy: RoutingPolicy,
    calls: &[CallOutcome],
    starts: usize,
    messages: IndexMap<MessageKind, u64>,
) -> ReplayReport {
    let completed = calls.iter().filter(|call| matches!(call.answer, CallAnswer::Whole(_))).count();
    let unanswered = calls.iter().filter(|call| matches!(call.answer, CallAnswer::None(_))).count();
    let wasted: u64 =
        messages.iter().filter(|(kind, _)| kind.is_wasted()).map(|(_, count)| count).sum();
    ReplayReport {
        trace: trace.header.trace.clone(),
        policy,
        calls: calls.len(),
        completed,
        failed: count_failures(calls),
        unanswered,
        starts,
        slowdown: Slowdowns::of(calls),
        messages: messages.into_iter().map(|(kind, count)| (kind.to_string(), count)).collect(),
        wasted_per_completed: wasted as f64 / completed.max(1) as f64,
        violations: Vec::new(),
        seconds: 0.0,
        duty_seconds: IndexMap::new(),
    }
}

/// A call that is ready to be sent, and what its outcome is checked against.
#[derive(Debug, Clone)]
struct PlannedCall {
    entry: SocketAddr,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: String,
    /// `team/submission`; empty for a request without a key.
    job: String,
    /// What the answer of each task must echo.
    echoes: Vec<String>,
    /// Whether the body of the reply is one task's answer, not a job's list.
    single: bool,
    /// The ideal response time.
    ideal: Duration,
    /// One-way delay between client and entry.
    delay: Duration,
}

/// Plays the events in order at their times, then waits until every call has
/// ended. A backend server whose downtime ends after the last event stays down.
fn play_events(
    trace: &Trace,
    cluster: &mut LocalCluster,
    progress: &dyn Fn(usize, usize),
) -> Vec<CallOutcome> {
    let entries: Vec<SocketAddr> = cluster.entries.iter().map(|entry| entry.address).collect();
    let ideal = IdealTimes::new(&trace.header.instances, trace.header.client_delay_ms);
    let mut planner = CallPlanner {
        entries,
        ideal,
        delay: Duration::from_secs_f64(trace.header.client_delay_ms / 1e3),
        next_entry: 0,
        request_count: 0,
        first_entries: IndexMap::new(),
    };
    let caller = Caller::new();
    let handle = cluster.host.handle().clone();
    let (restart_sender, mut restarts) = mpsc::channel::<String>(RESTART_CHANNEL_SLOTS);
    handle.block_on(async {
        let mut calls: JoinSet<CallOutcome> = JoinSet::new();
        let started = tokio::time::Instant::now();
        for (position, event) in trace.events.iter().enumerate() {
            let due = started + Duration::from_millis(event.at_ms);
            wait_until(due, &mut restarts, cluster).await;
            match planner.plan(&event.step) {
                PlannedStep::Call(call) => {
                    calls.spawn(send_call(caller.clone(), *call));
                }
                PlannedStep::Cancel { entry, path } => {
                    let caller = caller.clone();
                    tokio::spawn(async move { caller.delete(entry, &path).await });
                }
                PlannedStep::Fault => inject_fault(cluster, &event.step, &restart_sender).await,
            }
            progress(position + 1, trace.events.len());
        }
        let mut outcomes = Vec::new();
        while let Some(outcome) = calls.join_next().await {
            outcomes.extend(outcome.ok());
        }
        outcomes
    })
}

/// Waits until `due`; restarts backend servers whose downtime ends before it.
async fn wait_until(
    due: tokio::time::Instant,
    restarts: &mut mpsc::Receiver<String>,
    cluster: &mut LocalCluster,
) {
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(due) => return,
            Some(worker) = restarts.recv() => restart_backend(cluster, &worker).await,
        }
    }
}

async fn restart_backend(cluster: &mut LocalCluster, name: &str) {
    let records = cluster.records.clone();
    let Some(worker) = cluster.worker_mut(name) else { return };
    let Some(announce) = worker.agent.as_ref().and_then(|agent| agent.announce_address) else {
        return;
    };
    if let Ok(backend) = BackendServer::start(worker.shape.clone(), announce, records).await {
        worker.retired.push(std::mem::replace(&mut worker.backend, backend));
    }
}

async fn inject_fault(
    cluster: &mut LocalCluster,
    step: &TraceStep,
    restart_sender: &mpsc::Sender<String>,
) {
    match step {
        TraceStep::Behave { worker, behaviour } => {
            if let Some(worker) = cluster.worker_mut(worker) {
                worker.backend.behave(*behaviour);
            }
        }
        TraceStep::Restart { worker: name, back_after_ms } => {
            let Some(worker) = cluster.worker_mut(name) else { return };
            worker.backend.leave().await;
            let (restart_sender, name) = (restart_sender.clone(), name.clone());
            let downtime = Duration::from_millis(*back_after_ms);
            tokio::spawn(async move {
                tokio::time::sleep(downtime).await;
                // Fails if the replay has ended in the meantime.
                let _ended = restart_sender.send(name).await;
            });
        }
        TraceStep::CutWorker { worker } => {
            let Some(worker) = cluster.worker_mut(worker) else { return };
            worker.peer_link.set(LinkFault::Cut);
            for link in &worker.control_links {
                link.set(LinkFault::Cut);
            }
        }
        TraceStep::SilenceLinks { worker } => {
            if let Some(worker) = cluster.worker_mut(worker) {
                worker.peer_link.set(LinkFault::SilenceOpen);
            }
        }
        TraceStep::Request { .. } | TraceStep::Job { .. } | TraceStep::Cancel { .. } => {}
    }
}

/// What the player does for a trace step.
enum PlannedStep {
    /// Sends a call whose outcome is checked.
    Call(Box<PlannedCall>),
    /// Sends a cancellation and ignores its reply.
    Cancel { entry: SocketAddr, path: String },
    /// A step that changes the cluster and sends nothing.
    Fault,
}

/// Turns trace steps into calls. Calls go to the entries round-robin, so that a
/// resubmission arrives at another entry.
struct CallPlanner {
    entries: Vec<SocketAddr>,
    ideal: IdealTimes,
    delay: Duration,
    next_entry: usize,
    request_count: u64,
    /// The entry that received each submission first; it gets the cancellation.
    first_entries: IndexMap<String, SocketAddr>,
}

impl CallPlanner {
    /// The entry that a job's cancellation is sent to.
    fn entry_of(&self, job: &str) -> SocketAddr {
        self.first_entries.get(job).copied().unwrap_or(self.entries[0])
    }

    fn plan(&mut self, step: &TraceStep) -> PlannedStep {
        match step {
            TraceStep::Request { service, team, key, run_ms, deadline_ms } => {
                self.request_count += 1;
                let echo = format!("r{}", self.request_count);
                let mut headers = vec![("cactuswing-team", team.to_string())];
                headers.extend(key.iter().map(|key| ("idempotency-key", key.to_string())));
                headers.extend(deadline_ms.map(|ms| ("cactuswing-deadline-ms", ms.to_string())));
                let job = key.as_ref().map(|key| format!("{team}/{key}")).unwrap_or_default();
                // A resubmission must carry the same content, so its echo comes
                // from the key.
                let echo = key.as_ref().map_or(echo, |key| format!("k-{key}"));
                let body = task_payload(*run_ms, &echo).text().to_owned();
                let path = format!("/v1/services/{service}/requests");
                PlannedStep::Call(self.call(path, headers, body, job, vec![echo], true, &[*run_ms]))
            }
            TraceStep::Job { submission, team, .. } => {
                let job = format!("{team}/{submission}");
                let (submitted, run_ms) = job_submission(step);
                let echoes = (0..run_ms.len()).map(|task| format!("{job}/{task}")).collect();
                let body = serde_json::to_string(&submitted).unwrap_or_default();
                PlannedStep::Call(self.call(
                    "/v1/jobs".to_owned(),
                    Vec::new(),
                    body,
                    job,
                    echoes,
                    false,
                    &run_ms,
                ))
            }
            TraceStep::Cancel { team, submission } => PlannedStep::Cancel {
                entry: self.entry_of(&format!("{team}/{submission}")),
                path: format!("/v1/jobs/{team}/{submission}"),
            },
            _ => PlannedStep::Fault,
        }
    }

    #[allow(clippy::too_many_arguments, reason = "each is one part of an HTTP call")]
    fn call(
        &mut self,
        path: String,
        headers: Vec<(&'static str, String)>,
        body: String,
        job: String,
        echoes: Vec<String>,
        single: bool,
        run_ms: &[f64],
    ) -> Box<PlannedCall> {
        let entry = self.entries[self.next_entry % self.entries.len()];
        self.next_entry += 1;
        self.first_entries.entry(job.clone()).or_insert(entry);
        let ideal = self.ideal.of(run_ms);
        Box::new(PlannedCall {
            entry,
            path,
            headers,
            body,
            job,
            echoes,
            single,
            ideal,
            delay: self.delay,
        })
    }
}

/// The body of a job's submission and the run times of its tasks; `None` for
/// another step.
fn job_submission(step: &TraceStep) -> (Option<JobSubmission>, Vec<f64>) {
    let TraceStep::Job { service, team, submission, run_ms, declared_ms, cores, deadline_ms } =
        step
    else {
        return (None, Vec::new());
    };
    let task = |(position, run): (usize, &f64)| TaskSpec {
        declared_ms: declared_ms.get(position).copied(),
        cores: cores.unwrap_or(1),
        memory_mb: 0,
        accelerators: 0,
        payload: task_payload(*run, &format!("{team}/{submission}/{position}")),
    };
    let submitted = JobSubmission {
        submission: submission.clone(),
        team: team.clone(),
        service: service.clone(),
        deadline_ms: *deadline_ms,
        tasks: run_ms.iter().enumerate().map(task).collect(),
    };
    (Some(submitted), run_ms.clone())
}

async fn send_call(caller: Caller, call: PlannedCall) -> CallOutcome {
    let sent_at = Instant::now();
    precise_sleep(call.delay).await;
    let headers: Vec<(&str, &str)> =
        call.headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
    let sending = caller.post(call.entry, &call.path, &headers, call.body.clone());
    let reply = tokio::time::timeout(MAX_CALL_TIME, sending).await;
    precise_sleep(call.delay).await;
    let answer = match reply {
        Ok(reply) => read_answer(reply, call.single),
        Err(_elapsed) => CallAnswer::None("no answer in time".to_owned()),
    };
    CallOutcome {
        job: call.job,
        echoes: call.echoes,
        sent_at,
        answered_at: Instant::now(),
        ideal: call.ideal,
        answer,
    }
}

#[derive(Deserialize)]
struct JobAnswers {
    answers: Vec<Payload>,
}

fn read_answer(reply: Result<CallReply, CallFailure>, single: bool) -> CallAnswer {
    let reply = match reply {
        Ok(reply) => reply,
        Err(failure) => return CallAnswer::None(failure.to_string()),
    };
    if let Some(problem) = reply.problem() {
        return CallAnswer::Failed(problem);
    }
    let answers = match single {
        true => Payload::parse(&reply.body).ok().map(|answer| vec![answer]),
        false => serde_json::from_str::<JobAnswers>(&reply.body).ok().map(|body| body.answers),
    };
    match answers {
        Some(answers) if reply.status == 200 => CallAnswer::Whole(answers),
        _ => CallAnswer::Strange(reply.body),
    }
}
