//! Versions of the configuration: compare-and-set on the base version,
//! idempotent resends, deltas that reproduce the target text, and versions that
//! never decrease.

use assert_matches::assert_matches;
use decisions::control::ConfigStore;
use model::{CommandResult, ConfigDelta, OperatorConfig, sorted};
use proptest::prelude::*;

use crate::support::small_config;

fn text_with_weight(weight: u32) -> OperatorConfig {
    let mut text = small_config();
    text.teams.get_mut("south").expect("the team is configured").weight = weight;
    text
}

#[test]
fn concurrent_change_conflicts() {
    let mut store = ConfigStore::default();
    store.apply(&"r1".into(), 0, &text_with_weight(1), 1);
    let first = store.apply(&"a".into(), 1, &text_with_weight(2), 2);
    assert_matches!(first, CommandResult::ConfigAccepted { version: 2 });
    let second = store.apply(&"b".into(), 1, &text_with_weight(3), 3);
    assert_matches!(second, CommandResult::VersionConflict { current: 2, lines }
        if lines == ["~ team south {\"weight\":2,\"task_quota\":5000}"]);
    assert_eq!(store.version(), 2);
}

#[test]
fn resend_is_idempotent() {
    let mut store = ConfigStore::default();
    store.apply(&"r1".into(), 0, &text_with_weight(1), 1);
    store.apply(&"r2".into(), 1, &text_with_weight(2), 2);
    let again = store.apply(&"r1".into(), 0, &text_with_weight(1), 3);
    assert_matches!(again, CommandResult::ConfigAccepted { version: 1 });
    assert_eq!(store.version(), 2, "a resent request must not be applied again");
}

fn any_text() -> impl Strategy<Value = OperatorConfig> {
    let weights = prop::collection::btree_map("[a-d]", 1_u32..5, 0..4);
    let drained = prop::collection::vec("[wx]", 0..2);
    (weights, drained, any::<bool>()).prop_map(|(weights, drained, keep_ledgerless)| {
        let mut text = small_config();
        if !keep_ledgerless {
            text.services.shift_remove("ledgerless");
        }
        for (team, weight) in weights {
            let mut team_config = text.teams["north"].clone();
            team_config.weight = weight;
            text.teams.insert(team.into(), team_config);
        }
        text.drained_workers = drained.into_iter().map(Into::into).collect();
        text
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: crate::support::case_count(300),
        rng_seed: proptest::test_runner::RngSeed::Fixed(9_000),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn deltas_reproduce_text(before in any_text(), after in any_text()) {
        let (before, after) = (sorted(&before), sorted(&after));
        let delta = ConfigDelta::between(&before, &after);
        prop_assert_eq!(delta.apply(&before), Some(after.clone()));
        prop_assert_eq!(delta.lines().is_empty(), before == after);
        // A delta is rejected by a text other than the one it starts from.
        let mut other = before.clone();
        other.teams.insert("stranger".into(), before.teams["north"].clone());
        prop_assert_eq!(delta.apply(&other), None);
    }
}
