//! What the actors of a soak have seen, and the platform's rules judged on it: TWICE, CONFIG,
//! LOST, REFUSED, UNASKED and MIXED, each with its own conditions. The bounds are the rules'.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;
use standin::{LeaseEnd, LeaseRun};

use crate::deployed_group::RoleHost;

/// A machine is in touch after this long without a disruption.
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_BOUND: Duration = Duration::from_millis(2_000);
const DOWNGRADE_BOUND: Duration = Duration::from_millis(250);
const VISIBLE_BOUND: Duration = Duration::from_millis(3_000);
/// Disruptions in this time before and after a break are listed with it.
const NEAR_BEFORE: Duration = Duration::from_secs(4);
const NEAR_AFTER: Duration = Duration::from_secs(1);
const CANCEL_BOUND: Duration = Duration::from_millis(3_000);

/// One request that hands a job in; `answer` is `None` after no complete answer.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) sent: Instant,
    pub(crate) over: Instant,
    pub(crate) entry: usize,
    pub(crate) how: &'static str,
    pub(crate) answer: Option<(u16, String)>,
}

/// An answer to a request for a job's state.
#[derive(Debug)]
pub(crate) struct ShownState {
    pub(crate) entry: usize,
    pub(crate) sent: Instant,
    pub(crate) answered: Instant,
    pub(crate) status: u16,
    pub(crate) state: String,
}

/// A job, with all that its caller did and saw.
#[derive(Debug, Default)]
pub(crate) struct SoakJob {
    pub(crate) best_effort: bool,
    pub(crate) spec: String,
    pub(crate) tasks: u64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) accepted: Option<Instant>,
    pub(crate) cancel_sent: Option<Instant>,
    pub(crate) cancelled: Option<Instant>,
    pub(crate) shown: Vec<ShownState>,
}

/// A valid change that an operator sent.
#[derive(Debug)]
pub(crate) struct SentChange {
    pub(crate) content: Value,
    /// Prefixes of its routes.
    pub(crate) prefixes: BTreeSet<String>,
    pub(crate) sent: Instant,
    pub(crate) acked: Option<Instant>,
}

/// A call on a route, by what it says of the route.
#[derive(Debug)]
pub(crate) struct RouteCall {
    pub(crate) entry: usize,
    pub(crate) prefix: String,
    pub(crate) sent: Instant,
    pub(crate) answered: Instant,
    /// Whether the entry had the route.
    pub(crate) served: bool,
}

/// The configuration as a control host answered it.
#[derive(Debug)]
pub(crate) struct ConfigRead {
    pub(crate) control: usize,
    pub(crate) sent: Instant,
    pub(crate) answered: Instant,
    pub(crate) body: Vec<u8>,
}

/// All of it, in the order in which it was noted.
pub(crate) struct History {
    began: Instant,
    pub(crate) jobs: BTreeMap<String, SoakJob>,
    pub(crate) changes: BTreeMap<u64, SentChange>,
    pub(crate) route_calls: Vec<RouteCall>,
    pub(crate) reads: Vec<ConfigRead>,
    disturbances: Vec<(Instant, RoleHost, &'static str)>,
    /// Faults of backend servers and other lines for a reader.
    notes: Vec<(Instant, String)>,
    findings: Vec<String>,
}

/// The history; clones share it.
#[derive(Clone)]
pub(crate) struct SharedHistory(Arc<Mutex<History>>);

impl SharedHistory {
    pub(crate) fn new() -> SharedHistory {
        SharedHistory(Arc::new(Mutex::new(History {
            began: Instant::now(),
            jobs: BTreeMap::new(),
            changes: BTreeMap::new(),
            route_calls: Vec::new(),
            reads: Vec::new(),
            disturbances: Vec::new(),
            notes: Vec::new(),
            findings: Vec::new(),
        })))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl History {
    pub(crate) fn disturb(&mut self, host: RoleHost, what: &'static str) {
        self.disturbances.push((Instant::now(), host, what));
    }

    pub(crate) fn is_stopped(&self, host: RoleHost) -> bool {
        let newest = self.disturbances.iter().rev().find(|(_, known, _)| *known == host);
        newest.is_some_and(|(.., what)| *what == "stop")
    }

    pub(crate) fn note(&mut self, text: String) {
        self.notes.push((Instant::now(), text));
    }

    pub(crate) fn find(&mut self, finding: String) {
        self.findings.push(format!("{:8.3} {finding}", self.seconds(Instant::now())));
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    fn is_calm(&self, from: Instant, until: Instant, is_meant: impl Fn(RoleHost) -> bool) -> bool {
        let mut events = self.disturbances.iter();
        !events.any(|(at, host, _)| is_meant(*host) && from <= *at && *at <= until)
    }

    /// Whether a machine was in touch from this request to its answer: neither it nor a
    /// control host was disrupted then or shortly before.
    fn in_touch(&self, machine: RoleHost, sent: Instant, answered: Instant) -> bool {
        let from = sent.checked_sub(CONTACT).unwrap_or(sent);
        self.is_calm(from, answered, |host| host == machine || matches!(host, RoleHost::Control(_)))
    }

    /// The newest version that was acknowledged longer than this before.
    fn newest_acked(&self, before: Instant, bound: Duration) -> Option<u64> {
        let acked = self.changes.iter().rev();
        acked
            .into_iter()
            .find(|(_, change)| change.acked.is_some_and(|acked| acked + bound < before))
            .map(|(version, _)| *version)
    }

    /// Versions sent before this that answer calls on the prefix like this.
    fn versions_with(&self, prefix: &str, served: bool, before: Instant) -> Vec<u64> {
        let changes = self.changes.iter();
        let matching = changes.filter(|(_, change)| {
            change.sent <= before && change.prefixes.contains(prefix) == served
        });
        matching.map(|(version, _)| *version).collect()
    }

    /// All breaks of the rules: what was found meanwhile, and what this history shows.
    pub(crate) fn broken_rules(&self, runs: &[LeaseRun]) -> Vec<String> {
        let mut broken = self.findings.clone();
        broken.extend(self.twice(runs));
        broken.extend(self.stale_calls());
        broken.extend(self.stale_reads());
        broken.extend(self.wrong_starts(runs));
        broken.extend(self.wrong_states(runs));
        broken
    }

    fn twice(&self, runs: &[LeaseRun]) -> Vec<String> {
        let mut by_task: BTreeMap<&str, Vec<&LeaseRun>> = BTreeMap::new();
        for run in runs {
            by_task.entry(&run.task).or_default().push(run);
        }
        let (mut broken, mut shown) = (Vec::new(), BTreeSet::new());
        for runs in by_task.values_mut() {
            runs.sort_by_key(|run| run.began);
            for (position, first) in runs.iter().enumerate() {
                for second in &runs[position + 1..] {
                    let overlaps = first.ended.is_none_or(|(ended, _)| second.began < ended);
                    let is_done = first.acked
                        && matches!(first.ended, Some((at, LeaseEnd::Done)) if at < second.began);
                    let job = self.jobs.get(job_id(&first.task));
                    let stored = job.is_some_and(|job| !job.best_effort);
                    if overlaps || (is_done && stored) {
                        let what = if overlaps { "at once" } else { "after its end" };
                        let at = second.began;
                        let (first, second) = (self.describe(first), self.describe(second));
                        let is_new = shown.insert(job_id(&runs[0].task));
                        let context = job.filter(|_| is_new).map(|job| self.context(job, at));
                        let context = context.unwrap_or_default();
                        broken.push(format!("TWICE {what}: {first} | {second}{context}"));
                    }
                }
            }
        }
        broken
    }

    fn describe(&self, run: &LeaseRun) -> String {
        let ended = run.ended.map(|(at, how)| format!("{:.3} {how:?}", self.seconds(at)));
        format!(
            "{} run {} fence {} on {} {:.3} to {} late={} acked={}",
            run.task,
            run.run,
            run.fence,
            run.server,
            self.seconds(run.began),
            ended.unwrap_or_default(),
            run.late,
            run.acked
        )
    }

    /// What the caller of a job did, and what was disrupted near that time.
    fn context(&self, job: &SoakJob, at: Instant) -> String {
        let mut text = format!("\n    best_effort={} tasks={}", job.best_effort, job.tasks);
        for attempt in &job.attempts {
            let (sent, over) = (self.seconds(attempt.sent), self.seconds(attempt.over));
            let answer = attempt.answer.as_ref().map(|(status, _)| *status);
            let (entry, how) = (attempt.entry, attempt.how);
            text += &format!("\n    to entry-{entry} {sent:.3} to {over:.3} {how} {answer:?}");
        }
        let is_near = |event: &Instant| *event + NEAR_BEFORE > at && *event < at + NEAR_AFTER;
        for (event, host, what) in self.disturbances.iter().filter(|(event, ..)| is_near(event)) {
            text += &format!("\n    {:.3} {what} {host:?}", self.seconds(*event));
        }
        for (event, what) in self.notes.iter().filter(|(event, _)| is_near(event)) {
            text += &format!("\n    {:.3} {what}", self.seconds(*event));
        }
        text
    }

    /// Calls that an entry in touch handled by an older version, and entries that regressed.
    fn stale_calls(&self) -> Vec<String> {
        let mut broken = Vec::new();
        // Lowest version that an entry has shown the effect of, and since when.
        let mut shown: BTreeMap<usize, (u64, Instant)> = BTreeMap::new();
        let mut calls: Vec<&RouteCall> = self.route_calls.iter().collect();
        calls.sort_by_key(|call| call.answered);
        for call in calls {
            let versions = self.versions_with(&call.prefix, call.served, call.answered);
            let handled_by = versions.last().copied().unwrap_or(0);
            let newest = self.newest_acked(call.sent, CONFIG_BOUND).unwrap_or(0);
            let machine = RoleHost::Entry(call.entry);
            let line = || {
                format!(
                    "entry-{} {} served={} sent {:.3} answered {:.3}: version {handled_by} at most",
                    call.entry,
                    call.prefix,
                    call.served,
                    self.seconds(call.sent),
                    self.seconds(call.answered)
                )
            };
            if handled_by < newest && self.in_touch(machine, call.sent, call.answered) {
                broken.push(format!("CONFIG late: {}, {newest} acknowledged", line()));
            }
            let lowest = versions.first().copied().unwrap_or(0);
            if let Some((version, since)) = shown.get(&call.entry).copied() {
                if !self.is_calm(since, call.answered, |host| host == machine) {
                    shown.remove(&call.entry);
                } else if handled_by < version && call.sent > since + DOWNGRADE_BOUND {
                    broken.push(format!("CONFIG regress: {}, {version} shown before", line()));
                }
            }
            if call.served && shown.get(&call.entry).is_none_or(|(version, _)| *version < lowest) {
                shown.insert(call.entry, (lowest, call.answered));
            }
        }
        broken
    }

    fn stale_reads(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for read in &self.reads {
            let content: Value = serde_json::from_slice(&read.body).unwrap_or(Value::Null);
            let version = content["version"].as_u64().unwrap_or(0);
            let newest = self.newest_acked(read.sent, CONFIG_BOUND).unwrap_or(0);
            let when = format!(
                "control-{} sent {:.3} answered {:.3} version {version}",
                read.control,
                self.seconds(read.sent),
                self.seconds(read.answered)
            );
            if version < newest {
                broken.push(format!("CONFIG older read: {when}, {newest} acknowledged"));
            }
            if self.changes.get(&version).is_none_or(|change| change.content != content) {
                broken.push(format!("CONFIG other content read: {when} {content}"));
            }
        }
        broken
    }

    fn wrong_starts(&self, runs: &[LeaseRun]) -> Vec<String> {
        let mut broken = Vec::new();
        for run in runs {
            let Some(job) = self.jobs.get(job_id(&run.task)) else {
                broken.push(format!("UNASKED no such job: {}", self.describe(run)));
                continue;
            };
            let index = run.task.rsplit('.').next().and_then(|index| index.parse::<u64>().ok());
            if job.spec != run.spec || index.is_none_or(|index| index >= job.tasks) {
                broken.push(format!("UNASKED other work: {}", self.describe(run)));
            }
            let is_refusal = |attempt: &Attempt| matches!(attempt.answer, Some((status, _)) if matches!(status, 404 | 429 | 503));
            if !job.attempts.is_empty() && job.attempts.iter().all(is_refusal) {
                let context = self.context(job, run.began);
                broken.push(format!("REFUSED: {}{context}", self.describe(run)));
            }
            let is_after = job.cancelled.is_some_and(|at| at + CANCEL_BOUND < run.began);
            let calm_from = run.began.checked_sub(CONTACT).unwrap_or(run.began);
            if is_after && !run.late && self.is_calm(calm_from, run.began, |_| true) {
                broken.push(format!("UNASKED cancelled: {}", self.describe(run)));
            }
        }
        broken
    }

    /// States of jobs that don't fit what ran: MIXED and LOST.
    fn wrong_states(&self, runs: &[LeaseRun]) -> Vec<String> {
        let mut done: BTreeMap<&str, BTreeMap<&str, Instant>> = BTreeMap::new();
        for run in runs {
            if let Some((at, LeaseEnd::Done)) = run.ended {
                let tasks = done.entry(job_id(&run.task)).or_default();
                let first = tasks.entry(&run.task).or_insert(at);
                *first = at.min(*first);
            }
        }
        let mut broken = Vec::new();
        for (id, job) in &self.jobs {
            let completions = job.shown.iter().filter(|shown| shown.state == "completed");
            let completions = completions.map(|shown| shown.answered);
            let answers = job.attempts.iter().filter(
                |attempt| matches!(&attempt.answer, Some((200, state)) if state == "completed"),
            );
            if let Some(shown) = completions.chain(answers.map(|attempt| attempt.over)).min() {
                let tasks = done.get(id.as_str());
                let ended =
                    tasks.map_or(0, |tasks| tasks.values().filter(|at| **at <= shown).count());
                if (ended as u64) < job.tasks {
                    let context = self.context(job, shown);
                    let (tasks, at) = (job.tasks, self.seconds(shown));
                    broken.push(format!("MIXED: {id} {ended} of {tasks} done at {at:.3}{context}"));
                }
            }
            let Some(accepted) = job.accepted.filter(|_| job.cancel_sent.is_none()) else {
                continue;
            };
            for shown in &job.shown {
                let at = self.seconds(shown.answered);
                let machine = RoleHost::Entry(shown.entry);
                if shown.status == 410
                    && shown.sent > accepted + VISIBLE_BOUND
                    && self.in_touch(machine, shown.sent, shown.answered)
                {
                    broken.push(format!("LOST: {id} 410 by entry-{} at {at:.3}", shown.entry));
                }
                if matches!(shown.state.as_str(), "failed" | "cancelled") {
                    broken.push(format!("LOST: {id} {} at {at:.3}", shown.state));
                }
            }
        }
        broken
    }

    /// Figures of the run in one line.
    pub(crate) fn figures(&self, runs: &[LeaseRun]) -> String {
        let attempts = self.jobs.values().flat_map(|job| &job.attempts);
        let broken_off = attempts.clone().filter(|attempt| attempt.answer.is_none()).count();
        let answered = |wanted: u16| {
            let answers = attempts.clone().filter_map(|attempt| attempt.answer.as_ref());
            answers.filter(|(status, _)| *status == wanted).count()
        };
        format!(
            "jobs={} attempts={} broken_off={broken_off} ok={} rejected={} runs={} changes={} \
             acked={} reads={} route_calls={} disturbances={}",
            self.jobs.len(),
            attempts.clone().count(),
            answered(200),
            answered(429) + answered(503),
            runs.len(),
            self.changes.len(),
            self.changes.values().filter(|change| change.acked.is_some()).count(),
            self.reads.len(),
            self.route_calls.len(),
            self.disturbances.len()
        )
    }
}

fn job_id(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}
