//! Replicated configuration, updated by compare-and-set on its version.
//!
//! Invariants:
//! - the version grows by one with each accepted text;
//! - a request id is accepted at most once; a retry gets the first result, as long
//!   as the id is kept.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use model::{
    CommandResult, ConfigDelta, ConfigInForce, ConfigVersion, HistoryLine, OperatorConfig,
    RequestId, sorted,
};
use serde::{Deserialize, Serialize};

/// Maximum number of deltas kept for updating nodes.
const MAX_DELTAS: usize = 512;
/// Maximum number of request ids whose result is kept, and of history lines.
const MAX_REQUEST_IDS: usize = 20_000;

/// The configuration in force, and recent deltas, request ids and history.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigStore {
    current: Option<Arc<ConfigInForce>>,
    deltas: VecDeque<(ConfigVersion, ConfigDelta)>,
    requests: IndexMap<RequestId, ConfigVersion>,
    history: VecDeque<HistoryLine>,
}

impl ConfigStore {
    /// Version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.current.as_ref().map_or(0, |config| config.version)
    }

    /// The configuration in force, if any.
    pub fn current(&self) -> Option<Arc<ConfigInForce>> {
        self.current.clone()
    }

    /// Recent deltas, oldest first, each with the version that it leads to.
    pub fn deltas(&self) -> Vec<(ConfigVersion, ConfigDelta)> {
        self.deltas.iter().cloned().collect()
    }

    /// Recently accepted versions, oldest first.
    pub fn history(&self) -> Vec<HistoryLine> {
        self.history.iter().cloned().collect()
    }

    /// Accepts `text` if `base` is the version in force, else returns a conflict with
    /// the differences. `at_ms` is in milliseconds since 1970.
    pub fn apply(
        &mut self,
        request: &RequestId,
        base: ConfigVersion,
        text: &OperatorConfig,
        at_ms: u64,
    ) -> CommandResult {
        if let Some(version) = self.requests.get(request) {
            return CommandResult::ConfigAccepted { version: *version };
        }
        let text = sorted(text);
        if base != self.version() {
            return self.conflict(&text);
        }
        self.accept(request, text, at_ms)
    }

    fn conflict(&self, rejected: &OperatorConfig) -> CommandResult {
        let lines = match &self.current {
            Some(config) => ConfigDelta::between(rejected, &config.text).lines(),
            None => Vec::new(),
        };
        CommandResult::VersionConflict { current: self.version(), lines }
    }

    fn accept(&mut self, request: &RequestId, text: OperatorConfig, at_ms: u64) -> CommandResult {
        let version = self.version() + 1;
        if let Some(previous) = &self.current {
            self.deltas.push_back((version, ConfigDelta::between(&previous.text, &text)));
        }
        self.current = Some(Arc::new(ConfigInForce { version, text }));
        self.requests.insert(request.clone(), version);
        self.history.push_back(HistoryLine { version, at_ms, request: request.clone() });
        self.trim();
        CommandResult::ConfigAccepted { version }
    }

    fn trim(&mut self) {
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
        if self.requests.len() > MAX_REQUEST_IDS {
            self.requests.shift_remove_index(0);
            self.history.pop_front();
        }
    }
}
