//! Decides which racks are in high demand, and what that means for the servers that a task
//! may run on.
//!
//! Handles the load pattern *many jobs with their data in one rack*: they take several
//! times as long elsewhere, so tasks that don't need the rack prefer others.
//!
//! Invariant: a rack is tracked only while jobs have named it lately and servers of its
//! service carry its label.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    EventLine, JobStep, LabelId, QueueRule, QueuedJob, RackId, ServerView, ServiceId, scaled,
};

use super::placement_round::AgentClass;
use super::scheduler::{ScheduleStep, Scheduler};
use super::task_placement::core_millis;
use super::task_urgency::TaskUrgency;

/// Time in which recorded demand and usage decay to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// Interval at which racks are judged.
const JUDGE_INTERVAL: Duration = Duration::from_millis(100);
/// Share of a rack's capacity at which it enters high demand, and at which it leaves it: well
/// above what jobs take that name all racks alike, and below what a surge for one takes.
const HIGH_SHARE: f64 = 0.2;
const LOW_SHARE: f64 = 0.1;
/// Recent jobs of this scheduler that name a rack, below which it does not enter high
/// demand: few jobs tell little about the other schedulers' demand.
const MIN_RECENT_JOBS: f64 = 3.0;
/// Demand below which a rack is forgotten, in core-milliseconds.
const MIN_DEMAND: f64 = 1.0;
/// Maximum number of racks that are tracked.
const MAX_RACKS: usize = 64;
/// Maximum length of the name of a tracked rack; labels of servers are no longer.
const MAX_RACK_BYTES: usize = 128;
/// Lower bound on the part of the used capacity that is this scheduler's own.
const MIN_OWN_SHARE: f64 = 0.01;
/// Lower bound on the slowness of a server.
const MIN_SLOWNESS: f64 = 0.05;
/// Margin on the run time outside the named rack, within which the task must end in time
/// there. Most tasks exceed their estimate by a smaller factor.
const REMOTE_MARGIN: f64 = 1.5;
/// Utilization and share of the run time that make up the cost of a server that is spared
/// or remote: enough for a busier server to come first, not for a much slower one.
const AVOIDED_UTILIZATION: f64 = 0.5;
const AVOIDED_RUN_TIME: f64 = 0.25;

/// A backend server, as far as the demand for racks depends on it.
#[derive(Debug, Clone, Copy)]
pub struct RackServer<'server> {
    /// Service whose tasks it runs.
    pub service: &'server ServiceId,
    /// Its labels, its rack among them.
    pub labels: &'server [LabelId],
    /// Processor capacity, in thousandths of a core.
    pub cpu_milli: u64,
    /// Ratio of its run times to the estimates.
    pub slowness: f64,
    /// Processor capacity in use by this scheduler's runs.
    pub own_cpu_milli: u64,
    /// Processor capacity in use by others' runs.
    pub other_cpu_milli: u64,
}

/// A rack that has entered or left high demand. Amounts are in thousandths of a core.
#[derive(Debug, Clone, PartialEq)]
pub struct RackChange {
    /// Name of the rack.
    pub rack: RackId,
    /// Service whose servers it has.
    pub service: ServiceId,
    /// Whether it has entered high demand.
    pub is_high: bool,
    /// Capacity that all schedulers' jobs need in the rack, as estimated from this one's.
    pub demand: u64,
    /// Capacity of the rack's servers, each divided by its slowness.
    pub capacity: u64,
    /// Part of the service's used capacity that is this scheduler's own.
    pub own_share: f64,
}

/// How a server suits a task by its rack.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct RackFit {
    /// Whether the server is in a rack in high demand that the task does not name.
    pub(super) is_spared: bool,
    /// Factor on the run time, as the server is outside the rack that the task names.
    remote_factor: Option<f64>,
}

impl RackFit {
    /// Whether the server is outside the rack that the task names.
    pub(super) fn is_remote(self) -> bool {
        self.remote_factor.is_some()
    }

    /// What the run time were in the rack that the task names.
    pub(super) fn local_run_time(self, run_time: f64) -> f64 {
        run_time / self.remote_factor.unwrap_or(1.0)
    }

    /// Run time that is compared with the longest one that a task accepts; `None` if it does
    /// not accept the server.
    pub(super) fn accepted_run_time(self, rule: RemoteRule, run_time: f64) -> Option<f64> {
        if !self.is_remote() {
            return Some(run_time);
        }
        match rule {
            RemoteRule::Any => Some(run_time),
            RemoteRule::InTime => Some(run_time * REMOTE_MARGIN / TaskUrgency::MARGIN),
            RemoteRule::Wait => None,
        }
    }

    /// Cost of placing a task on the server in place of one that suits it.
    pub(super) fn cost(self, urgency: &TaskUrgency, run_time: f64) -> f64 {
        let count = u8::from(self.is_spared) + u8::from(self.is_remote());
        if count == 0 {
            return 0.0;
        }
        let utilization_cost = urgency.utilization_cost(run_time, AVOIDED_UTILIZATION);
        f64::from(count) * (utilization_cost + AVOIDED_RUN_TIME * run_time)
    }
}

/// Which servers outside the rack that a task names it accepts; a later one accepts fewer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RemoteRule {
    /// All on which it ends while its caller waits: it would end late in its rack too, and
    /// has waited for as long as a run elsewhere takes in addition.
    Any,
    /// Those on which it ends in time, with a margin for a rough estimate.
    InTime,
    /// None: it would end late in its rack, but waits for it.
    Wait,
}

/// A rack is that of the servers of one service.
type RackKey = (ServiceId, RackId);

#[derive(Debug, Clone, Default)]
struct RackState {
    /// Core-milliseconds of this scheduler's jobs, decaying.
    work: f64,
    /// Number of these jobs, decaying.
    jobs: f64,
    /// Capacity of its servers divided by their slowness, in thousandths of a core.
    capacity: f64,
    /// Whether it has been judged since it was added.
    is_judged: bool,
    is_high: bool,
}

/// Used capacity of a service's servers, in thousandths of a core, as a moving average.
#[derive(Debug, Clone, Copy, Default)]
struct UsageTally {
    own: f64,
    all: f64,
}

impl UsageTally {
    fn own_share(&self) -> f64 {
        if self.all > 0.0 { (self.own / self.all).max(MIN_OWN_SHARE) } else { 1.0 }
    }
}

/// Recent demand for the racks that jobs name.
#[derive(Debug, Clone)]
pub struct RackDemand {
    racks: IndexMap<RackKey, RackState>,
    usage: IndexMap<ServiceId, UsageTally>,
    decayed_at: Instant,
    judged_at: Instant,
}

impl RackDemand {
    /// Creates the state without demand.
    pub fn new(now: Instant) -> RackDemand {
        let (racks, usage) = (IndexMap::new(), IndexMap::new());
        RackDemand { racks, usage, decayed_at: now, judged_at: now }
    }

    /// Counts a job with this work, in core-milliseconds, whose data is in a rack.
    pub fn add_job(&mut self, now: Instant, service: &ServiceId, rack: &RackId, work: u64) {
        self.decay(now);
        let key = (service.clone(), rack.clone());
        if !self.racks.contains_key(&key) && !self.make_place(rack) {
            return;
        }
        let state = self.racks.entry(key).or_default();
        state.work += work as f64;
        state.jobs += 1.0;
    }

    /// Makes place for another rack; `false` if it is not to be tracked.
    fn make_place(&mut self, rack: &RackId) -> bool {
        if rack.len() > MAX_RACK_BYTES {
            return false;
        }
        if self.racks.len() < MAX_RACKS {
            return true;
        }
        let states = self.racks.values().enumerate().filter(|(_, state)| !state.is_high);
        let least = states.min_by(|(_, one), (_, other)| one.work.total_cmp(&other.work));
        let position = least.map(|(position, _)| position);
        position.is_some_and(|position| self.racks.swap_remove_index(position).is_some())
    }

    /// Whether the racks are to be judged: some are tracked, and the last time is long ago or
    /// one was added since.
    pub fn is_due(&self, now: Instant) -> bool {
        let is_old = now >= self.judged_at + JUDGE_INTERVAL;
        !self.racks.is_empty() && (is_old || self.racks.values().any(|state| !state.is_judged))
    }

    /// Compares the demand for each rack with the capacity of these servers, and returns the
    /// racks that have entered or left high demand.
    pub fn judge<'server>(
        &mut self,
        now: Instant,
        servers: impl Iterator<Item = RackServer<'server>>,
    ) -> Vec<RackChange> {
        self.decay(now);
        for state in self.racks.values_mut() {
            state.capacity = 0.0;
            state.is_judged = true;
        }
        let mut usage: IndexMap<ServiceId, UsageTally> = IndexMap::new();
        for server in servers {
            if !usage.contains_key(server.service) {
                usage.insert(server.service.clone(), UsageTally::default());
            }
            if let Some(tally) = usage.get_mut(server.service) {
                tally.own += server.own_cpu_milli as f64;
                tally.all += server.own_cpu_milli.saturating_add(server.other_cpu_milli) as f64;
            }
            for label in server.labels {
                let state = self.racks.get_mut(&(server.service.clone(), label.clone()));
                if let Some(state) = state {
                    state.capacity += server.cpu_milli as f64 / server.slowness.max(MIN_SLOWNESS);
                }
            }
        }
        self.average_usage(now, usage);
        self.judged_at = now;
        let changes = self.update_racks();
        self.racks.retain(|_, state| state.capacity > 0.0 && state.work >= MIN_DEMAND);
        if self.racks.is_empty() {
            // A later rack begins with the usage at that time.
            self.usage.clear();
        }
        changes
    }

    fn average_usage(&mut self, now: Instant, usage: IndexMap<ServiceId, UsageTally>) {
        let kept = decay_factor(now.saturating_duration_since(self.judged_at));
        self.usage.retain(|service, _| usage.contains_key(service));
        for (service, current) in usage {
            let tally = self.usage.entry(service).or_insert(current);
            tally.own = kept * tally.own + (1.0 - kept) * current.own;
            tally.all = kept * tally.all + (1.0 - kept) * current.all;
        }
    }

    fn update_racks(&mut self) -> Vec<RackChange> {
        let mut changes = Vec::new();
        for ((service, rack), state) in &mut self.racks {
            let own_share = self.usage.get(service).copied().unwrap_or_default().own_share();
            let demand = state.work / DECAY_TIME.as_secs_f64() / own_share;
            let is_high = match state.is_high {
                true => state.work >= MIN_DEMAND && demand > LOW_SHARE * state.capacity,
                false => state.jobs >= MIN_RECENT_JOBS && demand > HIGH_SHARE * state.capacity,
            };
            let is_high = is_high && state.capacity > 0.0;
            if is_high != state.is_high {
                state.is_high = is_high;
                changes.push(RackChange {
                    rack: rack.clone(),
                    service: service.clone(),
                    is_high,
                    demand: demand as u64,
                    capacity: state.capacity as u64,
                    own_share,
                });
            }
        }
        changes
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at);
        if elapsed.is_zero() {
            return;
        }
        self.decayed_at = now;
        let factor = decay_factor(elapsed);
        for state in self.racks.values_mut() {
            state.work *= factor;
            state.jobs *= factor;
        }
    }

    /// Number of racks in high demand.
    pub fn high_racks(&self) -> usize {
        self.racks.values().filter(|state| state.is_high).count()
    }

    /// Whether jobs have named the rack lately and it has servers of the service.
    pub fn has_servers(&self, service: &ServiceId, rack: &RackId) -> bool {
        let state = self.racks.get(&(service.clone(), rack.clone()));
        state.is_some_and(|state| state.capacity > 0.0)
    }

    /// Whether a rack is in high demand.
    pub fn is_high(&self, service: &ServiceId, rack: &RackId) -> bool {
        self.high_of(service).any(|high| high == rack)
    }

    /// The racks that matter to the tasks of a step.
    fn view<'view>(
        &'view self,
        service: &ServiceId,
        step: &'view JobStep,
        remote_factor: f64,
    ) -> RackView<'view> {
        let named = step.data_rack.as_ref().filter(|rack| self.has_servers(service, rack));
        RackView { named, high: self.high_of(service).collect(), remote_factor }
    }

    fn high_of(&self, service: &ServiceId) -> impl Iterator<Item = &RackId> {
        let high = self.racks.iter().filter(|(_, state)| state.is_high);
        high.filter(move |((of, _), _)| of == service).map(|((_, rack), _)| rack)
    }
}

/// The racks that matter to the tasks of one step.
#[derive(Debug, Default)]
pub(super) struct RackView<'view> {
    /// The one that the step names, if it has servers of the service.
    named: Option<&'view RackId>,
    /// Those of the service that are in high demand.
    high: Vec<&'view RackId>,
    /// Factor on run times outside the named rack.
    remote_factor: f64,
}

impl RackView<'_> {
    /// How a server suits the tasks.
    pub(super) fn fit(&self, server: Option<&ServerView>) -> RackFit {
        let labels = server.map_or(&[] as &[LabelId], |server| &server.labels);
        if self.named.is_some_and(|rack| labels.contains(rack)) {
            return RackFit::default();
        }
        let is_spared = self.high.iter().any(|rack| labels.contains(rack));
        RackFit { is_spared, remote_factor: self.named.map(|_| self.remote_factor) }
    }
}

/// What is left of a recorded amount after this time.
fn decay_factor(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

impl Scheduler {
    /// Counts the work of a job that becomes live, for the racks that its steps name.
    pub(super) fn add_rack_demand(
        &mut self,
        now: Instant,
        job: &QueuedJob,
        rule: Option<&QueueRule>,
    ) {
        let (Some(demand), Some(rule)) = (&mut self.rack_demand, rule) else { return };
        let mut named: IndexMap<&RackId, u64> = IndexMap::new();
        for step in &job.steps {
            if let Some(rack) = &step.data_rack {
                let work = named.entry(rack).or_default();
                let step_work = core_millis(step).saturating_mul(u64::from(step.count));
                *work = work.saturating_add(step_work);
            }
        }
        for (rack, work) in named {
            demand.add_job(now, &rule.service, rack, work);
        }
    }

    /// Judges the racks if that is due, and logs what has changed.
    pub(super) fn judge_racks(&mut self, now: Instant) {
        let Some(demand) = self.rack_demand.as_mut().filter(|demand| demand.is_due(now)) else {
            return;
        };
        let connected = self.agents.values().filter(|state| state.link.is_some());
        let servers = connected.filter_map(|state| {
            let server = state.server.as_ref().filter(|server| !server.draining)?;
            Some(RackServer {
                service: &server.service,
                labels: &server.labels,
                cpu_milli: server.capacity.cpu_milli,
                slowness: state.slowness(),
                own_cpu_milli: state.usage.cpu_milli,
                other_cpu_milli: state.other_usage.cpu_milli,
            })
        });
        for change in demand.judge(now, servers) {
            let line = EventLine::new("rack_demand")
                .with("rack", &change.rack)
                .with("service", &change.service)
                .with("high", change.is_high)
                .with("demand", change.demand)
                .with("capacity", change.capacity)
                .with("own_share", format_args!("{:.3}", change.own_share));
            self.steps.push(ScheduleStep::Log(line));
        }
    }

    /// The racks that matter to the tasks of a step; none without the setting.
    pub(super) fn rack_view<'view>(
        &'view self,
        class: &AgentClass,
        step: &'view JobStep,
    ) -> RackView<'view> {
        let demand = self.rack_demand.as_ref();
        let factor = self.limits.remote_factor;
        demand.map_or_else(RackView::default, |demand| demand.view(&class.service, step, factor))
    }

    /// Which servers outside the rack of their data the tasks of a step accept.
    pub(super) fn remote_rule(
        &self,
        now: Instant,
        job: &QueuedJob,
        step: &JobStep,
        urgency: &TaskUrgency,
    ) -> RemoteRule {
        let fastest = urgency.fastest();
        if self.rack_demand.is_none() || step.data_rack.is_none() || !urgency.is_late(fastest) {
            return RemoteRule::InTime;
        }
        let live = self.live.get(&job.id);
        let waited = live.map_or(Duration::ZERO, |live| now.saturating_duration_since(live.since));
        let added = scaled(step.estimate(), (self.limits.remote_factor - 1.0) * fastest);
        if waited < added { RemoteRule::Wait } else { RemoteRule::Any }
    }

    /// Number of racks in high demand; `None` without the setting.
    pub fn high_racks(&self) -> Option<usize> {
        self.rack_demand.as_ref().map(RackDemand::high_racks)
    }
}
