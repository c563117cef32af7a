//! Bounds the work of one placement round while capacity is short.
//!
//! Handles the load pattern *many waiting steps*: a round that searched all
//! agents for each of them would take longer the more steps wait, and make more
//! of them wait. Within a round capacity only shrinks, so a step needs no search
//! if an easier one has found no agent.

use model::{JobStep, LabelId, NodeId, RackId, ResourceAmount, ServiceId};

use super::rack_demand::{RackFit, RemoteRule};
use super::task_urgency::RunTimeRange;

/// Agents that a step may run on.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct AgentClass {
    pub(super) service: ServiceId,
    pub(super) required_label: Option<LabelId>,
    /// Rack of the step's data, on which the run times depend.
    data_rack: Option<RackId>,
}

impl AgentClass {
    pub(super) fn new(service: ServiceId, step: &JobStep) -> AgentClass {
        AgentClass {
            service,
            required_label: step.required_label.clone(),
            data_rack: step.data_rack.clone(),
        }
    }
}

/// What a step asks of an agent. The longest acceptable run time is in multiples
/// of the estimate; infinity accepts every agent.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct AgentDemand {
    pub(super) class: AgentClass,
    pub(super) size: ResourceAmount,
    pub(super) max_run_time: f64,
    /// What the step leaves of fast servers to others.
    pub(super) spared: SparedCapacity,
    /// What it accepts outside the rack of its data.
    pub(super) remote: RemoteRule,
}

/// What a task leaves of the fast servers to tasks that accept only these; more comes
/// later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SparedCapacity {
    Nothing,
    /// The last part, which is kept free.
    Kept,
    /// All that is reserved: such a task of higher precedence waits.
    Reserved,
}

/// A search that found no agent.
#[derive(Debug, Clone, Copy)]
struct VainSearch {
    size: ResourceAmount,
    /// Lower bound on the run time on an agent with enough free capacity; infinity
    /// if there was none.
    fastest: f64,
    spared: SparedCapacity,
    remote: RemoteRule,
}

impl VainSearch {
    /// Whether a search for this demand is in vain too.
    fn covers(&self, demand: &AgentDemand) -> bool {
        let no_wider = demand.spared >= self.spared && demand.remote >= self.remote;
        no_wider && demand.size.fits(&self.size) && demand.max_run_time < self.fastest
    }
}

/// An agent that a step may run on, as it is in this round.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) agent: NodeId,
    /// Expected run time, in multiples of the estimate.
    pub(super) run_time: f64,
    pub(super) free: ResourceAmount,
    /// Number of runs that this scheduler may add.
    pub(super) free_runs: usize,
    /// Total processor capacity, in thousandths of a core.
    pub(super) cpu_milli: u64,
    /// How its rack suits the step.
    pub(super) rack_fit: RackFit,
}

impl Candidate {
    /// Share of the processor capacity that is taken, from 0 to 1.
    pub(super) fn utilization(&self) -> f64 {
        1.0 - self.free.cpu_milli as f64 / self.cpu_milli.max(1) as f64
    }
}

/// The agents of one class, and what searches among them found.
#[derive(Debug)]
struct ClassView {
    class: AgentClass,
    range: RunTimeRange,
    candidates: Vec<Candidate>,
    /// Upper bound on the free capacity of an agent, in each dimension.
    max_free: ResourceAmount,
    searched: Vec<VainSearch>,
}

impl ClassView {
    fn new(class: AgentClass, candidates: Vec<Candidate>) -> ClassView {
        let range = run_time_range(&candidates);
        let max_free = max_free(&candidates);
        ClassView { class, range, candidates, max_free, searched: Vec::new() }
    }

    fn is_unmet(&self, demand: &AgentDemand) -> bool {
        let searched_in_vain = self.searched.iter().any(|search| search.covers(demand));
        searched_in_vain || !self.max_free.fits(&demand.size)
    }
}

/// Run times on the agents in the named rack. If none of them accepts work for the moment,
/// they are expected to be as fast as the others.
fn run_time_range(candidates: &[Candidate]) -> RunTimeRange {
    let has_local = candidates.iter().any(|candidate| !candidate.rack_fit.is_remote());
    let compared = candidates.iter().filter(|one| !has_local || !one.rack_fit.is_remote());
    compared.map(|candidate| candidate.rack_fit.local_run_time(candidate.run_time)).collect()
}

/// Largest free capacity of a candidate, in each dimension.
fn max_free(candidates: &[Candidate]) -> ResourceAmount {
    candidates.iter().fold(ResourceAmount::default(), |max, candidate| max.max(&candidate.free))
}

/// The agents by class, as far as this round has looked at them. Their free capacity
/// only shrinks within a round.
#[derive(Debug, Default)]
pub(super) struct PlacementRound {
    views: Vec<ClassView>,
    /// Services for which a task that accepts only fast servers was left waiting, with
    /// precedence over all that follow.
    fast_reserved: Vec<ServiceId>,
}

impl PlacementRound {
    fn view(&self, class: &AgentClass) -> Option<&ClassView> {
        self.views.iter().find(|view| view.class == *class)
    }

    /// Run times on the agents of a class, if it was added.
    pub(super) fn range(&self, class: &AgentClass) -> Option<RunTimeRange> {
        self.view(class).map(|view| view.range)
    }

    /// Adds a class with its agents.
    pub(super) fn add_class(&mut self, class: AgentClass, agents: Vec<Candidate>) -> RunTimeRange {
        let view = ClassView::new(class, agents);
        let range = view.range;
        self.views.push(view);
        range
    }

    /// Number of classes that were added.
    pub(super) fn class_count(&self) -> usize {
        self.views.len()
    }

    /// Agents of a class; none if it was not added.
    pub(super) fn candidates(&self, class: &AgentClass) -> &[Candidate] {
        self.view(class).map_or(&[], |view| &view.candidates)
    }

    /// Whether it is known that no agent meets the demand.
    pub(super) fn is_unmet(&self, demand: &AgentDemand) -> bool {
        self.view(&demand.class).is_some_and(|view| view.is_unmet(demand))
    }

    /// Records that no agent met the demand; the fastest one with enough free
    /// capacity for it has run time `fastest`. The limit on tasks at one backend server is
    /// not part of a demand, so a search for a step with one must not be recorded.
    pub(super) fn add_search(&mut self, demand: &AgentDemand, fastest: f64) {
        let view = self.views.iter_mut().find(|view| view.class == demand.class);
        if let Some(view) = view {
            let AgentDemand { size, spared, remote, .. } = *demand;
            view.searched.push(VainSearch { size, fastest, spared, remote });
            view.max_free = max_free(&view.candidates);
        }
    }

    /// Reserves for a waiting task what is reserved of the fast servers of a service.
    pub(super) fn reserve_fast(&mut self, service: Option<ServiceId>) {
        let service = service.filter(|service| !self.is_fast_reserved(service));
        self.fast_reserved.extend(service);
    }

    /// Whether the tasks that follow take nothing of what is reserved of fast servers.
    pub(super) fn is_fast_reserved(&self, service: &ServiceId) -> bool {
        self.fast_reserved.contains(service)
    }

    /// Takes the capacity of a placed task from its agent.
    pub(super) fn take_capacity(&mut self, agent: &NodeId, size: &ResourceAmount) {
        let candidates = self.views.iter_mut().flat_map(|view| &mut view.candidates);
        for candidate in candidates.filter(|candidate| candidate.agent == *agent) {
            candidate.free = candidate.free.saturating_sub(size);
            candidate.free_runs = candidate.free_runs.saturating_sub(1);
        }
    }
}
