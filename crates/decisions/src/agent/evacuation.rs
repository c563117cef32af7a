//! Owns what an agent knows of the evacuation of its failure domain.
//!
//! Invariants:
//! - only control's lists change what is known, and what is known outlasts the session with
//!   control, the sessions with entries, and the life of the backend server;
//! - a backend server in an evacuated domain is reported as draining and starts nothing; that
//!   it drains itself is kept apart, in its heartbeats, and outlasts the evacuation.

use indexmap::IndexSet;
use model::{DomainId, EventLine, SchedulerKey, ServerReport, ServerView};

use super::run_table::{RunStep, RunTable};
use super::server_life::ServerLife;

/// Failure domains that are evacuated, as control told last.
#[derive(Debug, Clone, Default)]
pub(super) struct Evacuation {
    evacuated: IndexSet<DomainId>,
    /// Domain of a backend server whose heartbeats name none.
    default_domain: DomainId,
    /// Domain of the backend server while it was last known to be evacuated.
    notified: Option<DomainId>,
}

impl Evacuation {
    /// Whether nothing may be started on this backend server.
    pub(super) fn covers(&self, server: &ServerView) -> bool {
        self.evacuated.contains(self.domain_of(server))
    }

    fn domain_of<'server>(&'server self, server: &'server ServerView) -> &'server DomainId {
        if server.domain.is_empty() { &self.default_domain } else { &server.domain }
    }

    /// What schedulers are told of a backend server.
    pub(super) fn report_of(&self, life: Option<&ServerLife>) -> ServerReport {
        let Some(life) = life else { return ServerReport::Absent };
        let mut view = life.view.clone();
        view.domain = self.domain_of(&view).clone();
        view.draining |= self.covers(&view);
        ServerReport::Present(view)
    }
}

impl RunTable {
    /// Sets the failure domain of the agent's settings, which is that of a backend server whose
    /// heartbeats name none.
    #[must_use]
    pub fn in_domain(mut self, domain: DomainId) -> RunTable {
        self.evacuation.default_domain = domain;
        self
    }

    /// Takes a scheduler's list of evacuated failure domains, which counts if control sent it.
    pub(super) fn take_evacuated(
        &mut self,
        scheduler: &SchedulerKey,
        evacuated: Option<Vec<DomainId>>,
    ) {
        if let (SchedulerKey::Control, Some(evacuated)) = (scheduler, evacuated) {
            self.evacuation.evacuated = evacuated.into_iter().collect();
        }
    }

    /// Reports a backend server whose domain is evacuated, or not any more, to each scheduler.
    pub(super) fn follow_evacuation(&mut self) {
        let Some(life) = &self.life else { return };
        let evacuation = &self.evacuation;
        let is_evacuated = evacuation.covers(&life.view);
        let domain = is_evacuated.then(|| evacuation.domain_of(&life.view).clone());
        if self.evacuation.notified == domain {
            return;
        }
        let (life_id, runs) = (&life.view.life, life.runs.len());
        let line = |event, domain: &DomainId| {
            let line = EventLine::new(event).with("domain", domain);
            RunStep::Log(line.with("life", life_id).with("runs", runs))
        };
        let ended = self.evacuation.notified.as_ref().map(|ended| line("evacuation_ended", ended));
        let begun = domain.as_ref().map(|begun| line("evacuated", begun));
        self.steps.extend(ended.into_iter().chain(begun));
        self.evacuation.notified = domain;
        self.require_reports(true);
    }
}
