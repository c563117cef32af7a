//! Keeps work off the backend servers of evacuated failure domains.
//!
//! Both schedulers and agents follow the list that control has committed: control tells its
//! agents, and entries by their watch for catalogs. A scheduler places nothing on a server whose
//! domain is listed, and an agent starts nothing there, so either of the two is enough.

use model::{EvacuationList, EventLine, LogIndex};

use super::scheduler::{ScheduleStep, Scheduler, SchedulerKind};

impl Scheduler {
    /// Takes control's list of evacuated domains; for an entry's scheduler.
    pub fn on_evacuation(&mut self, list: &EvacuationList) {
        self.store.replace_evacuated(list);
        self.follow_evacuation();
        let names: Vec<&str> = list.domains.iter().map(|domain| domain.as_str()).collect();
        let line = EventLine::new("evacuated_domains")
            .with("version", list.version)
            .with("domains", names.join(","))
            .with("agents", self.evacuated_agents());
        self.steps.push(ScheduleStep::Log(line));
    }

    /// Applies the known list of evacuated domains to the backend servers, and sends it to the
    /// agents if this is control.
    pub(super) fn follow_evacuation(&mut self) {
        let evacuated = self.store.evacuated();
        if self.kind == SchedulerKind::Control {
            self.hosts.set_evacuated(evacuated);
        }
        for state in self.agents.values_mut() {
            if let Some(server) = &mut state.server {
                server.draining = state.reports_draining || evacuated.contains(&server.domain);
            }
        }
        self.placement_due = true;
    }

    /// The list of evacuated domains, if it is newer than this version.
    pub fn evacuation_since(&self, version: LogIndex) -> Option<EvacuationList> {
        let latest = self.store.evacuation_version();
        (latest > version).then(|| EvacuationList {
            version: latest,
            domains: self.store.evacuated().iter().cloned().collect(),
        })
    }

    /// Number of known agents whose backend server is in an evacuated failure domain.
    pub fn evacuated_agents(&self) -> usize {
        let evacuated = self.store.evacuated();
        let servers = self.agents.values().filter_map(|state| state.server.as_ref());
        servers.filter(|server| evacuated.contains(&server.domain)).count()
    }
}
