//! Owns the runs on an agent's backend server: starts and stops them on the
//! orders of schedulers, and keeps each active only while its scheduler's grant
//! is valid.
//!
//! Invariants:
//! - orders of an earlier term, or for another life (lifetime of the backend
//!   server's process), start nothing;
//! - a run that is being stopped takes capacity until its end is listed;
//! - a start that waits for free capacity takes none, and never reaches the backend
//!   server once it is reported as refused;
//! - a start without an answer, or one that was sent again and then refused, is followed
//!   by a stop that bars it, and is reported as not started only when a later list shows
//!   neither the run nor its end;
//! - no run starts unless the grant of its scheduler is valid, and a run is stopped when
//!   it expires;
//! - a run counts as over only once it is known to be: its end was listed, or a list that
//!   has to show it does not; another instance answers at the backend server's address, or
//!   nothing does since it has left; or the lease that covers it has expired;
//! - no run counts as lapsed for a time in which this agent did not run: its host may have
//!   been suspended, and the lease has stood still;
//! - ends, except those of best-effort jobs, are reported in each new session
//!   until control acknowledges that they are recorded.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    AgentOrder, AgentOrders, AgentReport, ClaimUpdate, EndKind, EntryHost, EventLine, FenceNumber,
    Incarnation, NodeId, QueueId, RunUpdate, SchedulerKey, ServerCall, ServerRequest, SessionId,
    StartRefusal, TaskRun, is_reachable_term,
};

use super::claim_entries::EntryContact;
use super::claim_table::{ClaimNotice, ClaimTable, GrantCause};
use super::evacuation::Evacuation;
use super::pause_watch::PauseWatch;
use super::scheduler_session::{SchedulerSession, UpdateUrgency};
use super::server_heartbeats::Candidate;
use super::server_life::{OwnedUpdate, RunDemand, RunPhase, ServerLife};
use crate::run_bounds::{MAX_CLOCK_DRIFT_RATIO, contact_timeout, give_up_timeout};

/// Timing parameters of a run table.
#[derive(Debug, Clone, Copy)]
pub struct RunLimits {
    /// How long a backend server keeps runs active without a lease renewal.
    pub lease: Duration,
    /// How long a lease renewal may wait at the backend server for an end.
    pub renewal_wait: Duration,
    /// Interval between lease renewals that return no new ends, and base of the
    /// backoff after failed ones.
    pub renewal_interval: Duration,
    /// Delay before a call without an answer is retried.
    pub retry_delay: Duration,
    /// How long a run without a known scheduler is kept for one to claim it.
    pub claim_wait: Duration,
    /// Whether the speed of the backend server is learned and reported.
    pub speed_reports: bool,
    /// Whether a start is sent again when its answer is late.
    pub resend_starts: bool,
    /// Whether interference between kinds of tasks is learned and reported.
    pub interference: bool,
}

/// An effect for the agent's run service to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum RunStep {
    /// Calls the backend server.
    Call(ServerCall),
    /// Sends a report to a scheduler.
    Report(SchedulerKey, AgentReport),
    /// Sends heartbeats to a scheduler as often as its runs, or the lack of any, require.
    SetActive(SchedulerKey, bool),
    /// Connects to the schedulers of these entries.
    Connect(Vec<EntryHost>),
    /// Writes a log event.
    Log(EventLine),
}

/// State machine of the runs on one agent's backend server.
#[derive(Debug, Clone)]
pub struct RunTable {
    pub(super) agent: NodeId,
    pub(super) incarnation: Incarnation,
    pub(super) limits: RunLimits,
    pauses: PauseWatch,
    /// Time by which all runs from before the start of this agent have lapsed: twice the
    /// lease, each with the drift margin.
    earlier_runs_until: Instant,
    /// Whether a backend server has listed all its runs and ends since this agent started.
    pub(super) has_lists: bool,
    /// Current life of the backend server, if one is known.
    pub(super) life: Option<ServerLife>,
    /// Heartbeat of another instance, which is followed once the current life is over.
    pub(super) candidate: Option<Candidate>,
    pub(super) schedulers: IndexMap<SchedulerKey, SchedulerSession>,
    claims: ClaimTable,
    pub(super) evacuation: Evacuation,
    /// Fencing token of calls to the backend server. Only this agent calls it, so
    /// a token that rises with each start of the agent fences earlier processes.
    pub(super) fence: FenceNumber,
    pub(super) steps: Vec<RunStep>,
}

impl RunTable {
    /// Creates a table without a backend server.
    pub fn new(
        now: Instant,
        agent: NodeId,
        incarnation: Incarnation,
        limits: RunLimits,
    ) -> RunTable {
        RunTable {
            claims: ClaimTable::new(now, agent.clone()),
            agent,
            incarnation,
            limits,
            pauses: PauseWatch::new(now),
            earlier_runs_until: now + limits.lease.mul_f64(1.0 + MAX_CLOCK_DRIFT_RATIO) * 2,
            has_lists: false,
            life: None,
            candidate: None,
            schedulers: IndexMap::new(),
            evacuation: Evacuation::default(),
            fence: incarnation,
            steps: Vec::new(),
        }
    }

    /// Records that the agent handles an input now. What ends with the lease of the backend
    /// server is put off by a time in which both may have been suspended.
    pub(super) fn record_input(&mut self, now: Instant) {
        let Some(pause) = self.pauses.record_input(now) else { return };
        self.earlier_runs_until += pause;
        if let Some(life) = &mut self.life {
            life.put_off_lapse(now, pause);
        }
        if pause >= self.limits.lease {
            let line = EventLine::new("agent_paused").with("pause_ms", pause.as_millis());
            self.steps.push(RunStep::Log(line));
        }
    }

    /// Makes a report due in each session, if `required`.
    pub(super) fn require_reports(&mut self, required: bool) {
        for session in self.schedulers.values_mut() {
            session.needs_report |= required;
        }
    }

    /// Ends a life of the backend server; all its runs are reported as lapsed.
    pub(super) fn end_life(&mut self, now: Instant, reason: &str) {
        let Some(mut life) = self.life.take() else { return };
        self.log_life_end(&life, reason);
        self.notify(now, life.take_lapsed());
        for session in self.schedulers.values_mut() {
            session.must_list_runs = true;
            session.needs_report = true;
        }
    }

    pub(super) fn log_life_end(&mut self, life: &ServerLife, reason: &str) {
        let line = EventLine::new("server_life_ended")
            .with("life", &life.view.life)
            .with("reason", reason)
            .with("runs", life.runs.len());
        self.steps.push(RunStep::Log(line));
    }

    /// Queues updates for the schedulers that own the runs; those about unclaimed
    /// runs go to all schedulers.
    pub(super) fn notify(&mut self, now: Instant, updates: Vec<OwnedUpdate>) {
        for (owner, update) in updates {
            self.steps.push(RunStep::Log(update_line(&update)));
            let urgency = self.urgency(owner.as_ref(), &update);
            match owner {
                Some(owner) => {
                    if let Some(session) = self.schedulers.get_mut(&owner) {
                        session.add_update(now, update, urgency);
                    }
                }
                None => {
                    for session in self.schedulers.values_mut() {
                        session.add_update(now, update.clone(), urgency);
                    }
                }
            }
        }
    }

    /// Urgency of an update. The end of a completed run only releases capacity while
    /// other runs of its step are to end here.
    fn urgency(&self, owner: Option<&SchedulerKey>, update: &RunUpdate) -> UpdateUrgency {
        let RunUpdate::Ended { run, kind: EndKind::Done, .. } = update else {
            return UpdateUrgency::AtOnce;
        };
        let is_awaited = self.life.as_ref().is_some_and(|life| life.has_runs_of(owner, run));
        if is_awaited { UpdateUrgency::WithOthers } else { UpdateUrgency::AtOnce }
    }

    /// Handles a new connection to a scheduler.
    pub fn on_opened(
        &mut self,
        now: Instant,
        scheduler: SchedulerKey,
        session: SessionId,
    ) -> Vec<RunStep> {
        self.record_input(now);
        let life = self.life.as_ref();
        let mut updates = life.map(|life| life.unacked_of(&scheduler)).unwrap_or_default();
        let is_entry = scheduler != SchedulerKey::Control;
        self.claims.on_opened(&scheduler);
        let known = self.schedulers.entry(scheduler).or_default();
        let kept_ends = known.take_kept_ends();
        // Those for control are unacknowledged ends of the life.
        updates.extend(kept_ends.into_iter().filter(|_| is_entry));
        known.open(session, updates);
        if is_entry {
            let follows = ClaimUpdate::FollowsGiveUps { revision: 0 };
            known.add_claim_update(now, follows, UpdateUrgency::AtOnce);
        }
        self.finish(now)
    }

    /// Handles the loss of a connection to a scheduler.
    pub fn on_closed(
        &mut self,
        now: Instant,
        scheduler: &SchedulerKey,
        session: SessionId,
    ) -> Vec<RunStep> {
        self.record_input(now);
        if let Some(known) = self.schedulers.get_mut(scheduler)
            && known.close(session)
        {
            let timeout = contact_timeout(known.grant, self.limits.lease);
            self.claims.on_closed(scheduler, now + timeout);
        }
        self.finish(now)
    }

    /// Handles a scheduler's acknowledgement of this number of reports.
    pub fn on_reports_acked(
        &mut self,
        now: Instant,
        scheduler: &SchedulerKey,
        session: SessionId,
        count: usize,
    ) -> Vec<RunStep> {
        self.record_input(now);
        if let Some(known) = self.session_mut(scheduler, session) {
            known.on_reports_acked(count);
        }
        self.finish(now)
    }

    fn session_mut(
        &mut self,
        scheduler: &SchedulerKey,
        session: SessionId,
    ) -> Option<&mut SchedulerSession> {
        self.schedulers.get_mut(scheduler).filter(|known| known.session == Some(session))
    }

    /// Handles a scheduler's orders. `sent_at` is when the latest message that they
    /// acknowledge was sent; the grant counts from then, less the clock drift.
    pub fn on_orders(
        &mut self,
        now: Instant,
        scheduler: &SchedulerKey,
        session: SessionId,
        sent_at: Instant,
        orders: AgentOrders,
    ) -> Vec<RunStep> {
        self.record_input(now);
        let Some(known) = self.session_mut(scheduler, session) else { return Vec::new() };
        if orders.term < known.term {
            return Vec::new();
        }
        if !is_reachable_term(known.term, orders.term) {
            let line = EventLine::new("orders_refused").with("scheduler", scheduler);
            return vec![RunStep::Log(line.with("term", orders.term))];
        }
        known.term = orders.term;
        known.usage_interval = Duration::from_millis(orders.usage_interval_ms);
        let grant = Duration::from_millis(orders.grant_ms).mul_f64(1.0 - MAX_CLOCK_DRIFT_RATIO);
        known.grant_until = known.grant_until.max(Some(sent_at + grant));
        known.grant = Duration::from_millis(orders.grant_ms);
        if let (SchedulerKey::Control, Some(ack), Some(life)) =
            (scheduler, &orders.ack, &mut self.life)
            && ack.life == life.view.life
        {
            let is_news = life.ack_upto(ack.upto);
            if is_news && !self.has_lists {
                // The backend server lists the next ends once it knows of that.
                life.query_lists_at = Some(now);
            }
        }
        // Before the orders, which it concerns, and before entries are connected.
        self.take_evacuated(scheduler, orders.evacuated);
        if let Some(entries) = orders.entries {
            self.steps.push(RunStep::Connect(entries));
        }
        let grant = Duration::from_millis(orders.grant_ms);
        let known_until = sent_at + give_up_timeout(grant, self.limits.lease);
        let known_for = contact_timeout(grant, self.limits.lease);
        let contact = EntryContact { grant, known_until, known_for };
        self.claims.on_contact(scheduler, contact);
        self.take_watched_kinds(scheduler, orders.watched_kinds);
        if let Some(claims) = orders.claims {
            let notices = self.claims.on_orders(now, scheduler, contact, *claims);
            self.notify_claims(now, notices);
        }
        for order in orders.orders {
            match order {
                AgentOrder::Start { life, runs, spec, size, estimate_ms, queue } => {
                    let estimate = estimate_ms.map(Duration::from_millis);
                    let demand = RunDemand { size, estimate, queue };
                    self.queue_starts(now, scheduler, &life, runs, &Arc::from(spec), demand);
                }
                AgentOrder::Stop { run } => self.stop(now, run),
                AgentOrder::Keep { run } => self.claim_run(scheduler, &run),
            }
        }
        self.finish(now)
    }

    /// Stops a run unless it is unknown or being stopped already.
    pub(super) fn stop(&mut self, now: Instant, run: TaskRun) {
        let Some(life) = &mut self.life else { return };
        let Some(state) = life.runs.get_mut(&run) else { return };
        match state.phase {
            RunPhase::Waiting => {
                let owner = life.runs.swap_remove(&run).and_then(|state| state.owner);
                life.start_queue.remove(&run);
                let update = RunUpdate::Refused { run, refusal: StartRefusal::Room };
                self.notify(now, vec![(owner, update)]);
            }
            RunPhase::Starting | RunPhase::Running { .. } => {
                state.phase = RunPhase::Stopping { retry_at: None };
                self.call(now, ServerRequest::Stop { run });
            }
            RunPhase::Stopping { .. } | RunPhase::Barred { .. } => {}
        }
    }

    /// Queues claim updates for their schedulers.
    fn notify_claims(&mut self, now: Instant, notices: Vec<ClaimNotice>) {
        for ClaimNotice { scheduler, update, cause, urgency } in notices {
            if let Some(line) = claim_line(&scheduler, &update, cause) {
                self.steps.push(RunStep::Log(line));
            }
            if let Some(session) = self.schedulers.get_mut(&scheduler) {
                session.add_claim_update(now, update, urgency);
            }
        }
    }

    /// Assigns an unclaimed run to the scheduler that claims it.
    fn claim_run(&mut self, scheduler: &SchedulerKey, run: &TaskRun) {
        let state = self.life.as_mut().and_then(|life| life.runs.get_mut(run));
        if let Some(state) = state.filter(|state| state.owner.is_none()) {
            state.owner = Some(scheduler.clone());
        }
    }

    /// Handles timeouts; see [`RunTable::next_deadline`].
    pub fn on_tick(&mut self, now: Instant) -> Vec<RunStep> {
        self.record_input(now);
        self.finish(now)
    }

    /// Carries out all that is due after an input, and returns the steps.
    pub(super) fn finish(&mut self, now: Instant) -> Vec<RunStep> {
        self.expire_lease(now);
        self.end_departed_life(now);
        self.void_ends_without_lease(now);
        let notices = self.claims.on_tick(now);
        self.notify_claims(now, notices);
        self.follow_evacuation();
        self.stop_ungranted_runs(now);
        self.retry_stops(now);
        self.resend_starts(now);
        self.start_waiting(now);
        self.renew_if_due(now);
        self.update_speed(now);
        if let Some(life) = &mut self.life {
            life.update_kinds(now);
        }
        self.report_if_due(now);
        self.notify_activity();
        std::mem::take(&mut self.steps)
    }

    /// Takes the kinds of tasks whose presence a scheduler has asked for.
    fn take_watched_kinds(&mut self, scheduler: &SchedulerKey, kinds: Option<Vec<QueueId>>) {
        let Some(kinds) = kinds.filter(|_| self.limits.interference) else { return };
        let Some(session) = self.schedulers.get_mut(scheduler) else { return };
        let names: Vec<&str> = kinds.iter().map(|kind| kind.as_str()).collect();
        let line = EventLine::new("watched_kinds")
            .with("scheduler", scheduler)
            .with("kinds", names.join(","));
        self.steps.push(RunStep::Log(line));
        session.watch_kinds(kinds);
    }

    /// Updates the learned speed of the backend server.
    fn update_speed(&mut self, now: Instant) {
        let Some(life) = &mut self.life else { return };
        let Some((before, report)) = life.update_speed(now) else { return };
        let line = EventLine::new("server_speed")
            .with("life", &life.view.life)
            .with("slowness", format_args!("{:.3}", report.slowness()))
            .with("before", before.map_or(1.0, |before| before.slowness()))
            .with("jobs", report.jobs)
            .with("average", if life.uses_recent_speed() { "recent" } else { "long" });
        self.steps.push(RunStep::Log(line));
        // The first figure goes with other messages: at the start of a system that is one
        // report of each agent to each scheduler.
        let is_change = before.is_some();
        for session in self.schedulers.values_mut().filter(|_| is_change) {
            session.require_speed_report(now);
        }
    }

    /// Sends the reports that are due. At most [`model::MAX_UNACKED_REPORTS`] to each
    /// scheduler are unacknowledged; later updates go with the next one.
    fn report_if_due(&mut self, now: Instant) {
        if !self.can_report(now) {
            return;
        }
        let runs_partial = !self.can_list_runs(now);
        let life = self.life.as_ref();
        let evacuation = &self.evacuation;
        let server = || {
            let report = evacuation.report_of(life.filter(|life| life.listed));
            // Nothing is ordered that the list of all runs, which is to follow, could miss.
            if runs_partial { report.draining() } else { report }
        };
        for (scheduler, session) in &mut self.schedulers {
            session.complete_list(runs_partial);
            let other_usage = life.map(|life| life.other_usage(scheduler)).unwrap_or_default();
            if !session.is_report_due(now, &other_usage) {
                continue;
            }
            let Some(number) = session.session else { continue };
            let server = session.server_report(server());
            let speed = session.speed_report(&server, life.and_then(ServerLife::speed_report));
            let kinds = life.and_then(ServerLife::kinds);
            let kinds = kinds.filter(|_| *scheduler != SchedulerKey::Control);
            let pairs = session.pair_reports(now, &server, kinds);
            let other_kinds = session.other_kinds(|watched| {
                life.map(|life| life.other_kinds(scheduler, watched)).unwrap_or_default()
            });
            let listed = |owner| life.map(|life| life.runs_of(owner)).unwrap_or_default();
            let report = AgentReport {
                agent: self.agent.clone(),
                incarnation: self.incarnation,
                session: number,
                server,
                runs: session.must_list_runs.then(|| listed(Some(scheduler))),
                runs_partial,
                unowned: if session.must_list_runs { listed(None) } else { Vec::new() },
                updates: session.take_updates(now, other_usage, runs_partial),
                claims: session.take_claim_updates(),
                other_usage,
                speed,
                pairs,
                other_kinds,
            };
            self.steps.push(RunStep::Report(scheduler.clone(), report));
        }
    }

    /// Whether there are runs that need the grant of this scheduler.
    pub fn is_active(&self, scheduler: &SchedulerKey) -> bool {
        let mut runs = self.life.iter().flat_map(|life| life.runs.values());
        runs.any(|run| run.phase.needs_grant() && run.owner.as_ref() == Some(scheduler))
    }

    /// Notifies the link of the schedulers whose first run began or last run ended.
    fn notify_activity(&mut self) {
        let schedulers = self.schedulers.iter();
        let changed = schedulers.filter_map(|(scheduler, session)| {
            let is_active = self.is_active(scheduler);
            let is_news = session.session.is_some() && session.notified_active != Some(is_active);
            is_news.then(|| (scheduler.clone(), is_active))
        });
        let changed: Vec<(SchedulerKey, bool)> = changed.collect();
        for (scheduler, is_active) in changed {
            if let Some(session) = self.schedulers.get_mut(&scheduler) {
                session.notified_active = Some(is_active);
            }
            self.steps.push(RunStep::SetActive(scheduler, is_active));
        }
    }

    /// Whether the agent may report: a restarted one once the backend server has listed runs
    /// and ends, be it not all. What is listed has to be reported, as the server lists more
    /// only once that is acknowledged.
    fn can_report(&self, now: Instant) -> bool {
        self.can_list_runs(now) || self.life.as_ref().is_some_and(|life| life.listed)
    }

    /// Whether a restarted agent may say which runs there are: once the backend server
    /// has listed all of them and of their ends, or once all runs from before the start have
    /// lapsed with the lease, given the bound on clock drift.
    pub(super) fn can_list_runs(&self, now: Instant) -> bool {
        self.has_lists || self.are_earlier_runs_over(now)
    }

    /// Whether all runs from before the start of this agent have lapsed.
    pub(super) fn are_earlier_runs_over(&self, now: Instant) -> bool {
        now >= self.earlier_runs_until
    }

    /// Time at which the agent has to run next so that its time counts, while it awaits that
    /// runs lapse.
    fn next_lapse_check(&self) -> Option<Instant> {
        let last_input = self.pauses.last_input();
        let earlier = (!self.can_list_runs(last_input)).then_some(last_input);
        let life = self.life.as_ref();
        let own = life.and_then(|life| life.lapse_awaited_from(last_input, self.limits.lease));
        let awaited_from = earlier.into_iter().chain(own).min()?;
        Some(awaited_from.max(self.pauses.next_check()))
    }

    /// Time at which the next report is due; while the agent may not list its runs, none is.
    fn next_report(&self) -> Option<Instant> {
        let life = self.life.as_ref();
        let due = self.schedulers.iter().filter_map(|(scheduler, session)| {
            let other_usage = life.map(|life| life.other_usage(scheduler)).unwrap_or_default();
            session.next_report(&other_usage)
        });
        due.min().filter(|_| self.can_report(self.pauses.last_input()))
    }

    /// Time at which [`RunTable::on_tick`] is next due.
    pub fn next_deadline(&self) -> Option<Instant> {
        let life = self.life.as_ref();
        let granted = life.into_iter().flat_map(|life| {
            let active = life.runs.values().filter(|state| state.phase.is_active());
            active.filter_map(|state| self.granted_until(state))
        });
        let life = life.and_then(ServerLife::next_deadline);
        let claims = self.claims.next_deadline();
        let checks = [self.next_lapse_check(), self.next_report(), life, claims];
        checks.into_iter().flatten().chain(granted).min()
    }

    /// Incarnation of the agent; rises with each of its starts.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Number of runs that may be active.
    pub fn runs(&self) -> usize {
        self.life.as_ref().map_or(0, |life| life.runs.len())
    }
}

/// The line about a claim update, unless it only acknowledges something.
fn claim_line(
    scheduler: &SchedulerKey,
    update: &ClaimUpdate,
    cause: Option<GrantCause>,
) -> Option<EventLine> {
    Some(match update {
        ClaimUpdate::Granted { job } => {
            let line = EventLine::new("claim_granted").with("job", job).with("holder", scheduler);
            cause.map_or(line.clone(), |cause| line.with("cause", cause))
        }
        ClaimUpdate::Held { job } => {
            EventLine::new("claim_contended").with("job", job).with("by", scheduler)
        }
        ClaimUpdate::Declined { job, grants_in_ms } => {
            let line = EventLine::new("claim_declined").with("job", job).with("by", scheduler);
            grants_in_ms.map_or(line.clone(), |left| line.with("grants_in_ms", left))
        }
        ClaimUpdate::Recalled { job } => {
            EventLine::new("claim_recalled").with("job", job).with("holder", scheduler)
        }
        ClaimUpdate::Confirm { job } => {
            EventLine::new("claim_in_doubt").with("job", job).with("asked", scheduler)
        }
        ClaimUpdate::GiveUp { agent } => {
            EventLine::new("give_up_requested").with("agent", agent).with("asked", scheduler)
        }
        ClaimUpdate::FollowsGiveUps { .. } => return None,
    })
}

fn update_line(update: &RunUpdate) -> EventLine {
    match update {
        RunUpdate::Ended { number, run, kind, ran_ms } => {
            let line = EventLine::new("run_ended")
                .with("run", run)
                .with("kind", kind)
                .with("number", number);
            match ran_ms {
                Some(ran_ms) => line.with("ran_ms", ran_ms),
                None => line,
            }
        }
        RunUpdate::Refused { run, refusal } => {
            EventLine::new("run_not_started").with("run", run).with("cause", refusal)
        }
    }
}
