//! The catalog in force is the one with the highest version, in whatever order
//! versions arrive. A call that arrives late must not bring an older catalog back.

use decisions::control::{CatalogStore, JobChange, JobStore};
use model::{Command, LogRecord};
use proptest::prelude::*;

use crate::schedule_model::catalog;

#[test]
fn same_version_ignored() {
    let mut store = CatalogStore::default();
    assert!(store.set(&catalog(4)));
    let mut other = model::QueueCatalog::clone(&catalog(4));
    other.document = "other".to_owned();
    assert!(!store.set(&other.into()));
    assert_eq!(store.current().expect("a catalog is in force").document, "{\"version\":4}");
}

#[test]
fn snapshot_round_trips() {
    let mut job_store = JobStore::default();
    let command = Command::SetCatalog { catalog: catalog(9) };
    let change = job_store.apply(&LogRecord { index: 1, term: 1, at_ms: 0, command });
    assert_eq!(change, JobChange::Catalog);
    let job = crate::schedule_model::job(1, 2, false);
    let command = Command::AcceptJob { job };
    job_store.apply(&LogRecord { index: 2, term: 1, at_ms: 5, command });
    let text = serde_json::to_string(&job_store).expect("the store serializes");
    let read: JobStore = serde_json::from_str(&text).expect("the store deserializes");
    assert_eq!(read, job_store);
    assert_eq!(JobStore::from(job_store.state()), job_store);
}

proptest! {
    #[test]
    fn version_never_decreases(versions in prop::collection::vec(0_u64..20, 1..40)) {
        let mut store = CatalogStore::default();
        let mut highest = 0;
        for version in versions {
            let newer = store.set(&catalog(version));
            prop_assert_eq!(newer, version > highest);
            highest = highest.max(version);
            prop_assert_eq!(store.version(), highest);
        }
    }
}
