//! Replicated catalog of queues.
//!
//! Invariant: the version only grows; a catalog with the same or a lower version is
//! ignored.

use std::sync::Arc;

use model::{ConfigVersion, QueueCatalog, QueueId, QueueRule};
use serde::{Deserialize, Serialize};

/// Holds the catalog of queues in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogStore {
    current: Option<Arc<QueueCatalog>>,
}

impl CatalogStore {
    /// Version of the catalog in force; 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.current.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// The catalog in force, if any.
    pub fn current(&self) -> Option<Arc<QueueCatalog>> {
        self.current.clone()
    }

    /// Rule of a queue in the catalog in force.
    pub fn rule(&self, queue: &QueueId) -> Option<&QueueRule> {
        self.current.as_ref()?.queues.get(queue)
    }

    /// Puts a catalog in force if its version is higher than the current one.
    /// Returns whether it did.
    pub fn set(&mut self, catalog: &Arc<QueueCatalog>) -> bool {
        let newer = catalog.version > self.version();
        if newer {
            self.current = Some(Arc::clone(catalog));
        }
        newer
    }
}
