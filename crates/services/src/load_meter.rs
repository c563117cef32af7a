//! Measures the load of the scheduling duty and sums it up in one log line for
//! each interval.

use std::time::{Duration, Instant};

use decisions::schedule::{QueueCounts, RefusalCounts, Scheduler, pair_line};
use model::{AgentMessage, AgentOrders, AgentReport, EventLine, RunUpdate, SchedulingMessage};

/// Minimum interval between two lines; without messages none is written.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Messages of one interval, and how long they waited.
pub(crate) struct LoadMeter {
    interval_start: Instant,
    jobs: u64,
    reports: u64,
    /// Reports with at least one end.
    end_reports: u64,
    /// Reports with refused starts and without ends.
    refusal_reports: u64,
    /// Reports without updates or lists: only the usage by other schedulers, or
    /// the state of the backend server, has changed.
    usage_reports: u64,
    /// Ended runs in all reports.
    ends: u64,
    heartbeats: u64,
    /// Messages to agents, and those of them with orders.
    sent: u64,
    sent_orders: u64,
    others: u64,
    max_ring_wait: Duration,
}

impl LoadMeter {
    pub(crate) fn new(now: Instant) -> LoadMeter {
        LoadMeter {
            interval_start: now,
            jobs: 0,
            reports: 0,
            end_reports: 0,
            refusal_reports: 0,
            usage_reports: 0,
            ends: 0,
            heartbeats: 0,
            sent: 0,
            sent_orders: 0,
            others: 0,
            max_ring_wait: Duration::ZERO,
        }
    }

    /// Counts a message. Only submissions carry the time at which they arrived,
    /// so their wait stands for that of all messages.
    pub(crate) fn count(&mut self, now: Instant, message: &SchedulingMessage) {
        match message {
            SchedulingMessage::Job { arrived_at, .. } => {
                self.jobs += 1;
                let waited = now.saturating_duration_since(*arrived_at);
                self.max_ring_wait = self.max_ring_wait.max(waited);
            }
            SchedulingMessage::Agent { message, .. } => match &message.message {
                AgentMessage::Report(report) => self.count_report(report),
                AgentMessage::Heartbeat(_) => self.heartbeats += 1,
            },
            _ => self.others += 1,
        }
    }

    fn count_report(&mut self, report: &AgentReport) {
        self.reports += 1;
        let updates = report.updates.iter();
        let ends = updates.filter(|update| matches!(update, RunUpdate::Ended { .. })).count();
        self.ends += ends as u64;
        if ends > 0 {
            self.end_reports += 1;
        } else if !report.updates.is_empty() {
            self.refusal_reports += 1;
        } else if report.runs.is_none() {
            self.usage_reports += 1;
        }
    }

    /// Counts a message to an agent.
    pub(crate) fn count_sent(&mut self, orders: &AgentOrders) {
        self.sent += 1;
        self.sent_orders += u64::from(!orders.orders.is_empty());
    }

    /// The lines that are due, if any: one for the scheduler, and one for each queue that
    /// was short of capacity and for each learned pair of kinds. Starts the next interval.
    pub(crate) fn take_lines(&mut self, now: Instant, scheduler: &mut Scheduler) -> Vec<EventLine> {
        let interval = now.saturating_duration_since(self.interval_start);
        if interval < LINE_INTERVAL {
            return Vec::new();
        }
        let counts = scheduler.take_counts();
        let line = EventLine::new("schedule_load")
            .with("interval_ms", interval.as_millis())
            .with("jobs", self.jobs)
            .with("reports", self.reports)
            .with("end_reports", self.end_reports)
            .with("refusal_reports", self.refusal_reports)
            .with("usage_reports", self.usage_reports)
            .with("ends", self.ends)
            .with("heartbeats", self.heartbeats)
            .with("sent", self.sent)
            .with("sent_orders", self.sent_orders)
            .with("others", self.others)
            .with("ring_wait_ms", self.max_ring_wait.as_millis())
            .with("report_delay_ms", scheduler.report_delay().as_millis())
            .with("live_jobs", scheduler.live_jobs())
            .with("waiting_steps", scheduler.waiting_steps())
            .with("searches", counts.searches)
            .with("agents_priced", counts.agents_priced)
            .with("placed", counts.placed)
            .with("refused", counts.refused)
            .with("overdue", counts.overdue)
            .with("too_late", counts.too_late)
            .with("unreserved", counts.unreserved)
            .with("late_queued", counts.late_queued)
            .with("first_grants", counts.first_grants.claims)
            .with("first_grant_ms", counts.first_grants.mean_wait().as_millis())
            .with("max_first_grant_ms", counts.first_grants.longest.as_millis())
            .with("passed_on_grants", counts.passed_on_grants.claims)
            .with("passed_on_grant_ms", counts.passed_on_grants.mean_wait().as_millis())
            .with("max_passed_on_grant_ms", counts.passed_on_grants.longest.as_millis())
            .with("confirm_requests", counts.confirm_requests)
            .with("evacuated_agents", scheduler.evacuated_agents());
        let line = if scheduler.uses_speed_reports() {
            let (used, slower) = scheduler.reported_speeds();
            line.with("speed_reports", counts.speed_reports)
                .with("reported_speeds", used)
                .with("slower_than_reported", slower)
        } else {
            line
        };
        let line = match scheduler.high_racks() {
            Some(high_racks) => line
                .with("high_racks", high_racks)
                .with("spared_starts", counts.spared_starts)
                .with("remote_starts", counts.remote_starts),
            None => line,
        };
        let pairs = scheduler.learned_pairs();
        let line = if scheduler.uses_interference() {
            line.with("pair_reports", counts.pair_reports)
                .with("learned_pairs", pairs.len())
                .with("interfering", counts.interfering)
        } else {
            line
        };
        *self = LoadMeter::new(now);
        let queues = scheduler.take_queue_counts();
        let queue_lines = queues.iter().map(|counts| queue_line(interval, counts));
        let pair_lines = pairs.iter().map(|pair| pair_line("learned_pair", pair));
        let lines = std::iter::once(with_refusals(line, &counts.refusals));
        lines.chain(queue_lines).chain(pair_lines).collect()
    }
}

/// Adds the numbers of refused and expired jobs by cause, if there are any.
fn with_refusals(line: EventLine, counts: &RefusalCounts) -> EventLine {
    if *counts == RefusalCounts::default() {
        return line;
    }
    line.with("jobs_queue_full", counts.queue_full)
        .with("jobs_too_long", counts.too_long)
        .with("jobs_no_server", counts.no_server)
        .with("jobs_caller_time", counts.caller_time)
        .with("jobs_latest_start", counts.latest_start)
        .with("jobs_no_capacity", counts.no_capacity)
        .with("jobs_held_long", counts.held_long)
        .with("jobs_no_grant", counts.no_grant)
}

fn queue_line(interval: Duration, counts: &QueueCounts) -> EventLine {
    EventLine::new("queue_load")
        .with("interval_ms", interval.as_millis())
        .with("queue", &counts.queue)
        .with("priority", counts.priority)
        .with("placed", counts.placed)
        .with("by_share", counts.by_share)
        .with("by_size", counts.by_size)
        .with("large", counts.large)
        .with("waiting_core_ms", counts.waiting)
        .with("share_milli", counts.share_milli)
}
