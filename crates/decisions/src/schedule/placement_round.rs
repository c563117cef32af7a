//! Bounds the work of one placement round while capacity is short.
//!
//! Handles the load pattern *many waiting steps*: a round that searched all
//! agents for each of them would take longer the more steps wait, and make more
//! of them wait. Within a round capacity only shrinks, so a step needs no search
//! if an easier one has found no agent.

use model::{JobStep, LabelId, RackId, ResourceAmount, ServiceId};

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
}

/// What is known in one round about the agents of one class. Capacities are upper
/// bounds and run times lower bounds: agents only fill up within a round.
#[derive(Debug)]
struct ClassView {
    class: AgentClass,
    range: RunTimeRange,
    /// Largest free capacity of an agent, in each dimension.
    max_free: ResourceAmount,
    /// Sizes that were searched for in vain, and the run time on the fastest agent
    /// with enough free capacity for each; infinity if there was none.
    searched: Vec<(ResourceAmount, f64)>,
}

/// What is known about the agents in one round.
#[derive(Debug, Default)]
pub(super) struct PlacementRound {
    views: Vec<ClassView>,
}

impl PlacementRound {
    fn view(&self, class: &AgentClass) -> Option<&ClassView> {
        self.views.iter().find(|view| view.class == *class)
    }

    /// Run times on the agents of a class, if they are known in this round.
    pub(super) fn range(&self, class: &AgentClass) -> Option<RunTimeRange> {
        self.view(class).map(|view| view.range)
    }

    /// Adds a class with the run time and free capacity of each of its agents.
    pub(super) fn add_class(
        &mut self,
        class: AgentClass,
        agents: &[(f64, ResourceAmount)],
    ) -> RunTimeRange {
        let range = agents.iter().map(|(run_time, _)| *run_time).collect();
        let max_free =
            agents.iter().fold(ResourceAmount::default(), |max, (_, free)| max.max(free));
        self.views.push(ClassView { class, range, max_free, searched: Vec::new() });
        range
    }

    /// Whether it is known that no agent meets the demand.
    pub(super) fn is_unmet(&self, demand: &AgentDemand) -> bool {
        self.view(&demand.class).is_some_and(|view| {
            let searched_in_vain = view
                .searched
                .iter()
                .any(|(size, fastest)| demand.size.fits(size) && demand.max_run_time < *fastest);
            searched_in_vain || !view.max_free.fits(&demand.size)
        })
    }

    /// Records that a search for agents of this class and size was in vain, since
    /// the fastest one with enough free capacity has this run time. The limit on
    /// tasks at one backend server is not part of a demand, so a search for a step
    /// with one must not be recorded.
    pub(super) fn add_search(&mut self, demand: AgentDemand, fastest: f64) {
        let view = self.views.iter_mut().find(|view| view.class == demand.class);
        if let Some(view) = view {
            view.searched.push((demand.size, fastest));
        }
    }
}
