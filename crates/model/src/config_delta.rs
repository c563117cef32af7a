//! Owns the difference between two operator configurations, which control
//! distributes to the nodes and `plan` displays.
//!
//! Invariant: applying `ConfigDelta::between(a, b)` to `a` gives a configuration
//! with the digest of `b`.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{Fingerprint, ServiceId, TeamId};
use crate::operator_config::{
    BalanceConfig, OperatorConfig, RoutingPolicy, ServiceConfig, TeamConfig,
};

/// Changes from one operator configuration to another. Maps hold the new value
/// of a name, or `None` for a removed one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Added, changed and removed services.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub services: IndexMap<ServiceId, Option<ServiceConfig>>,
    /// Added, changed and removed teams.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub teams: IndexMap<TeamId, Option<TeamConfig>>,
    /// New routing policy, if changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<RoutingPolicy>,
    /// New balance, if changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub balance: Option<BalanceConfig>,
    /// New time zone, if changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_zone: Option<compact_str::CompactString>,
    /// New complete list of drained workers, if changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drained_workers: Option<Vec<compact_str::CompactString>>,
    /// Digest of the resulting configuration.
    pub digest: Fingerprint,
}

impl ConfigDelta {
    /// Computes the changes that turn `before` into `after`.
    pub fn between(before: &OperatorConfig, after: &OperatorConfig) -> ConfigDelta {
        ConfigDelta {
            services: map_delta(&before.services, &after.services),
            teams: map_delta(&before.teams, &after.teams),
            policy: changed(&before.policy, &after.policy),
            balance: changed(&before.balance, &after.balance),
            time_zone: changed(&before.time_zone, &after.time_zone),
            drained_workers: changed(&before.drained_workers, &after.drained_workers),
            digest: sorted(after).digest(),
        }
    }

    /// Applies the changes. Returns `None` when the result's digest differs
    /// from the expected one; the full configuration must then be fetched.
    pub fn apply(&self, before: &OperatorConfig) -> Option<OperatorConfig> {
        let mut after = before.clone();
        apply_map(&mut after.services, &self.services);
        apply_map(&mut after.teams, &self.teams);
        after.policy = self.policy.unwrap_or(after.policy);
        if let Some(balance) = &self.balance {
            after.balance = balance.clone();
        }
        if let Some(time_zone) = &self.time_zone {
            after.time_zone = time_zone.clone();
        }
        if let Some(drained_workers) = &self.drained_workers {
            after.drained_workers = drained_workers.clone();
        }
        let after = sorted(&after);
        (after.digest() == self.digest).then_some(after)
    }

    /// One line for each change, for display.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        lines.extend(map_lines("service", &self.services));
        lines.extend(map_lines("team", &self.teams));
        if let Some(policy) = self.policy {
            lines.push(format!("~ policy {policy}"));
        }
        if let Some(balance) = &self.balance {
            let BalanceConfig { slowdown_weight, waste_weight } = balance;
            lines.push(format!("~ balance slowdown={slowdown_weight} waste={waste_weight}"));
        }
        if let Some(time_zone) = &self.time_zone {
            lines.push(format!("~ time zone {time_zone}"));
        }
        if let Some(drained_workers) = &self.drained_workers {
            lines.push(format!("~ drained workers: {}", drained_workers.join(", ")));
        }
        lines
    }
}

/// The configuration with its services and teams sorted by name, so that equal
/// content has an equal digest.
pub fn sorted(config: &OperatorConfig) -> OperatorConfig {
    let mut config = config.clone();
    config.services.sort_unstable_keys();
    config.teams.sort_unstable_keys();
    config
}

fn changed<T: PartialEq + Clone>(before: &T, after: &T) -> Option<T> {
    (before != after).then(|| after.clone())
}

fn map_delta<K, V>(before: &IndexMap<K, V>, after: &IndexMap<K, V>) -> IndexMap<K, Option<V>>
where
    K: Clone + Eq + std::hash::Hash,
    V: Clone + PartialEq,
{
    let removed = before.keys().filter(|key| !after.contains_key(*key));
    let mut delta: IndexMap<K, Option<V>> = removed.map(|key| (key.clone(), None)).collect();
    for (key, value) in after {
        if before.get(key) != Some(value) {
            delta.insert(key.clone(), Some(value.clone()));
        }
    }
    delta
}

fn apply_map<K, V>(target: &mut IndexMap<K, V>, delta: &IndexMap<K, Option<V>>)
where
    K: Clone + Eq + std::hash::Hash,
    V: Clone,
{
    for (key, value) in delta {
        match value {
            Some(value) => {
                target.insert(key.clone(), value.clone());
            }
            None => {
                target.shift_remove(key);
            }
        }
    }
}

fn map_lines<V: Serialize>(
    kind: &str,
    delta: &IndexMap<compact_str::CompactString, Option<V>>,
) -> Vec<String> {
    let line = |(name, value): (&compact_str::CompactString, &Option<V>)| match value {
        Some(value) => {
            format!("~ {kind} {name} {}", serde_json::to_string(value).unwrap_or_default())
        }
        None => format!("- {kind} {name}"),
    };
    delta.iter().map(line).collect()
}
