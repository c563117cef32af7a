//! Owns the catalog of queues in force.
//!
//! Invariant: its version only grows; a catalog of the same or a lower
//! version changes nothing.

use std::sync::Arc;

use model::{ConfigVersion, QueueCatalog};
use serde::{Deserialize, Serialize};

/// The catalog in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogStore {
    current: Option<Arc<QueueCatalog>>,
}

impl CatalogStore {
    /// The version in force; 0 before the first.
    pub fn version(&self) -> ConfigVersion {
        self.current.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// The catalog in force.
    pub fn current(&self) -> Option<Arc<QueueCatalog>> {
        self.current.clone()
    }

    /// Puts a catalog in force if it is newer; tells whether it was.
    pub fn set(&mut self, catalog: &Arc<QueueCatalog>) -> bool {
        let newer = catalog.version > self.version();
        if newer {
            self.current = Some(Arc::clone(catalog));
        }
        newer
    }
}
