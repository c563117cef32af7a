//! Owns the accepted configurations.
//!
//! Invariants:
//! - versions grow by one with each accepted text and never go back;
//! - a request id is accepted at most once; a resend gets the first result.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use model::{
    CommandResult, ConfigInForce, ConfigVersion, HistoryLine, OperatorText, RequestId, TextDelta,
    sorted,
};
use serde::{Deserialize, Serialize};

/// Accepted changes whose difference is kept for spreading.
const MOST_DELTAS: usize = 512;
/// Request ids whose result is kept.
const MOST_REQUESTS: usize = 20_000;

/// Accepted configurations, the latest in full.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigStore {
    current: Option<Arc<ConfigInForce>>,
    deltas: VecDeque<(ConfigVersion, TextDelta)>,
    requests: IndexMap<RequestId, ConfigVersion>,
    history: VecDeque<HistoryLine>,
}

impl ConfigStore {
    /// The version in force; 0 before the first.
    pub fn version(&self) -> ConfigVersion {
        self.current.as_ref().map_or(0, |config| config.version)
    }

    /// The configuration in force.
    pub fn current(&self) -> Option<Arc<ConfigInForce>> {
        self.current.clone()
    }

    /// Recent changes, oldest first, with the version each leads to.
    pub fn deltas(&self) -> Vec<(ConfigVersion, TextDelta)> {
        self.deltas.iter().cloned().collect()
    }

    /// Accepted versions, oldest first.
    pub fn history(&self) -> Vec<HistoryLine> {
        self.history.iter().cloned().collect()
    }

    /// Accepts `text` if it was made from the version in force.
    pub fn apply(
        &mut self,
        request: &RequestId,
        base: ConfigVersion,
        text: &OperatorText,
        at_ms: u64,
    ) -> CommandResult {
        if let Some(version) = self.requests.get(request) {
            return CommandResult::TextAccepted { version: *version };
        }
        let text = sorted(text);
        if base != self.version() {
            return self.conflict(&text);
        }
        self.accept(request, text, at_ms)
    }

    fn conflict(&self, refused: &OperatorText) -> CommandResult {
        let lines = match &self.current {
            Some(config) => TextDelta::between(refused, &config.text).lines(),
            None => Vec::new(),
        };
        CommandResult::VersionConflict { current: self.version(), lines }
    }

    fn accept(&mut self, request: &RequestId, text: OperatorText, at_ms: u64) -> CommandResult {
        let version = self.version() + 1;
        if let Some(before) = &self.current {
            self.deltas.push_back((version, TextDelta::between(&before.text, &text)));
        }
        self.current = Some(Arc::new(ConfigInForce { version, text }));
        self.requests.insert(request.clone(), version);
        self.history.push_back(HistoryLine { version, at_ms, request: request.clone() });
        self.trim();
        CommandResult::TextAccepted { version }
    }

    fn trim(&mut self) {
        if self.deltas.len() > MOST_DELTAS {
            self.deltas.pop_front();
        }
        if self.requests.len() > MOST_REQUESTS {
            self.requests.shift_remove_index(0);
            self.history.pop_front();
        }
    }
}
