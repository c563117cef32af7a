//! Model of a backend server, shared by the models in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{
    EndKind, ListedEnd, RunNumber, ServerAnswer, ServerCall, ServerRequest, StartRefusal, TaskName,
    TaskRun,
};

use crate::schedule_model::LEASE;

/// Number of ends that a list has at most; the lowest are listed first.
pub(crate) const MAX_LISTED_ENDS: usize = 500;

/// A backend server that does only what the platform's protocol guarantees.
pub(crate) struct ServerModel {
    /// Number of runs that it takes at a time.
    pub(crate) slots: usize,
    started_at: Instant,
    instance: String,
    pub(crate) generation: u64,
    pub(crate) fence: u64,
    /// End of the lease on the server's own clock, which counts from its start.
    lease_until: Duration,
    /// Each run with the time at which it completes.
    pub(crate) runs: BTreeMap<String, (TaskRun, Instant)>,
    /// Highest run number of each task that has ended or was stopped; starts up to
    /// it are refused.
    highest_ended: BTreeMap<TaskName, RunNumber>,
    /// Ends that the agent has not acknowledged yet.
    pub(crate) unacked_ends: Vec<ListedEnd>,
    end_count: u64,
    /// Tasks with an unacknowledged end when the lease expired: the platform's
    /// rules void such an end.
    pub(crate) lapsed_tasks: BTreeSet<TaskName>,
    /// Successful ends that are not acknowledged, with their times, and whether the lease has
    /// expired since.
    pending_done: Vec<(ListedEnd, Instant, bool)>,
    /// Successful ends that count, since they were acknowledged under the same lease.
    pub(crate) counted_done: Vec<(TaskName, Instant)>,
    /// Whether it refuses all starts as unhealthy.
    pub(crate) sheds: bool,
    /// Since when its host is suspended.
    suspended_at: Option<Instant>,
}

impl ServerModel {
    pub(crate) fn new(now: Instant, generation: u64, slots: usize) -> ServerModel {
        ServerModel {
            slots,
            started_at: now,
            instance: format!("i-{generation}"),
            generation,
            fence: 0,
            lease_until: Duration::ZERO,
            runs: BTreeMap::new(),
            highest_ended: BTreeMap::new(),
            unacked_ends: Vec::new(),
            end_count: 0,
            lapsed_tasks: BTreeSet::new(),
            pending_done: Vec::new(),
            counted_done: Vec::new(),
            sheds: false,
            suspended_at: None,
        }
    }

    /// Suspends it with its host: its steady clock and its runs stand still.
    pub(crate) fn suspend(&mut self, now: Instant) {
        self.suspended_at = Some(now);
    }

    /// Lets it go on.
    pub(crate) fn resume(&mut self, now: Instant) {
        let Some(since) = self.suspended_at.take() else { return };
        self.started_at += now - since;
        self.runs.values_mut().for_each(|(_, ends_at)| *ends_at += now - since);
    }

    pub(crate) fn clock(&self, now: Instant) -> Duration {
        now - self.started_at
    }

    pub(crate) fn instance(&self) -> String {
        self.instance.clone()
    }

    /// The next life of this instance, which knows nothing of before; its clock starts anew.
    pub(crate) fn reborn(&self, now: Instant, generation: u64) -> ServerModel {
        let instance = self.instance.clone();
        ServerModel { instance, ..ServerModel::new(now, generation, self.slots) }
    }

    fn end(&mut self, name: &str, kind: EndKind) {
        let Some((run, done_at)) = self.runs.remove(name) else { return };
        self.end_count += 1;
        let highest = self.highest_ended.entry(run.task.clone()).or_insert(0);
        *highest = (*highest).max(run.run);
        let end = ListedEnd { number: self.end_count, run, kind };
        if kind == EndKind::Done {
            self.pending_done.push((end.clone(), done_at, false));
        }
        self.unacked_ends.push(end);
    }

    pub(crate) fn advance(&mut self, now: Instant) {
        if self.suspended_at.is_some() {
            return;
        }
        let expires_at = self.started_at + self.lease_until;
        let ended_runs: Vec<(String, EndKind)> = self
            .runs
            .iter()
            .filter_map(|(name, (_, at))| match (*at <= now.min(expires_at), expires_at <= now) {
                (true, _) => Some((name.clone(), EndKind::Done)),
                (false, true) => Some((name.clone(), EndKind::Lapsed)),
                (false, false) => None,
            })
            .collect();
        for (name, kind) in ended_runs {
            self.end(&name, kind);
        }
        if expires_at <= now {
            self.lapsed_tasks.extend(self.unacked_ends.iter().map(|end| end.run.task.clone()));
            self.pending_done.iter_mut().for_each(|(_, _, has_lapsed)| *has_lapsed = true);
        }
    }

    /// Forgets the ends up to a number. Those that no lapse has voided count.
    fn acknowledge(&mut self, acked: u64) {
        self.unacked_ends.retain(|end| end.number > acked);
        let ends = self.pending_done.extract_if(.., |(end, ..)| end.number <= acked);
        let counted = ends.filter(|(_, _, has_lapsed)| !has_lapsed);
        self.counted_done.extend(counted.map(|(end, at, _)| (end.run.task, at)));
    }

    /// Executes a call; `run_time` is that of the run that it starts, if it starts one.
    pub(crate) fn handle_call(
        &mut self,
        now: Instant,
        call: &ServerCall,
        run_time: Duration,
    ) -> ServerAnswer {
        self.advance(now);
        if call.instance != self.instance() {
            return ServerAnswer::Refused(StartRefusal::Gone);
        }
        if call.fence < self.fence {
            return ServerAnswer::Refused(StartRefusal::Fence);
        }
        self.fence = call.fence;
        let clock = self.clock(now);
        let capped_until = call.lease_until.map(|until| until.min(clock + LEASE));
        self.lease_until = self.lease_until.max(capped_until.unwrap_or_default());
        match &call.request {
            ServerRequest::Start { run, .. } => self.start(now, run, call.lease_until, run_time),
            ServerRequest::Stop { run } => {
                self.end(&run.to_string(), EndKind::Stopped);
                let highest = self.highest_ended.entry(run.task.clone()).or_insert(0);
                *highest = (*highest).max(run.run);
                ServerAnswer::Done
            }
            ServerRequest::RenewLease { acked, .. } => {
                self.acknowledge(*acked);
                let running = self.runs.values().map(|(run, _)| run.clone()).collect();
                let ended = self.unacked_ends.iter().take(MAX_LISTED_ENDS).cloned().collect();
                ServerAnswer::Lists { running, ended }
            }
        }
    }

    fn start(
        &mut self,
        now: Instant,
        run: &TaskRun,
        until: Option<Duration>,
        run_time: Duration,
    ) -> ServerAnswer {
        let name = run.to_string();
        if self.sheds {
            return ServerAnswer::Refused(StartRefusal::Unhealthy);
        }
        if self.runs.contains_key(&name) {
            return ServerAnswer::Done;
        }
        if self.highest_ended.get(&run.task).is_some_and(|highest| run.run <= *highest) {
            return ServerAnswer::Refused(StartRefusal::OldRun);
        }
        if until.is_none_or(|until| until <= self.clock(now)) {
            return ServerAnswer::Refused(StartRefusal::Late);
        }
        if self.runs.len() >= self.slots {
            return ServerAnswer::Refused(StartRefusal::Room);
        }
        self.runs.insert(name, (run.clone(), now + run_time));
        ServerAnswer::Done
    }
}
