//! Owns the operator configuration: services and their dependencies, teams with
//! quotas, the routing policy, and the weights of the two objectives (response
//! time and wasted messages).
//!
//! Invariant: a configuration that was read refers only to declared services
//! and has no dependency cycle.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::ids::{Fingerprint, ServiceId, TeamId};
use crate::payload::fingerprint;
use crate::schema::{FieldRule, ValidationError, ValueSchema, optional, read_document, required};

/// Policy by which an entry selects a backend server for a task.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RoutingPolicy {
    /// Shortest expected completion time, from learnt run times; tasks wait at
    /// the entry for a free slot.
    #[default]
    ExpectedCompletion,
    /// A random instance.
    Random,
    /// Each instance in turn.
    RoundRobin,
    /// The instance with the fewest outstanding tasks.
    LeastOutstanding,
    /// The less loaded of two random instances (power of two choices).
    TwoChoices,
    /// Limits the outstanding tasks at an agent to this entry's share of its
    /// slots (credit-based flow control).
    SlotCredits,
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Services that need a live backend server for this one to work.
    #[serde(default)]
    pub depends_on: Vec<ServiceId>,
    /// Whether the service's requests may be repeated.
    pub idempotent: bool,
    /// Deadline of requests without one, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Declared run time of tasks without one, in milliseconds.
    #[serde(default = "default_declared")]
    pub declared_ms: u32,
    /// Retry budget: retries allowed for each request, from 0 to 1.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
}

fn default_deadline() -> u64 {
    15_000
}

fn default_declared() -> u32 {
    300
}

fn default_retry_ratio() -> f64 {
    0.1
}

impl ServiceConfig {
    /// Deadline of requests without one.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Declared run time of tasks without one.
    pub fn declared(&self) -> Duration {
        Duration::from_millis(u64::from(self.declared_ms))
    }
}

/// Configuration of a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamConfig {
    /// Weight in fair queueing, relative to other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of tasks running and waiting at a time, over all of the
    /// team's jobs at one entry.
    #[serde(default = "default_quota")]
    pub task_quota: u32,
}

fn default_weight() -> u32 {
    1
}

fn default_quota() -> u32 {
    5_000
}

/// Weights of the two objectives of routing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalanceConfig {
    /// Weight of response time.
    pub slowdown_weight: f64,
    /// Weight of wasted messages.
    pub waste_weight: f64,
}

impl Default for BalanceConfig {
    fn default() -> BalanceConfig {
        BalanceConfig { slowdown_weight: 0.5, waste_weight: 0.5 }
    }
}

impl BalanceConfig {
    /// Share of wasted messages in the total weight, from 0 to 1; 0.5 when both
    /// weights are zero.
    pub fn waste_share(&self) -> f64 {
        let total = self.slowdown_weight + self.waste_weight;
        if total > 0.0 { self.waste_weight / total } else { 0.5 }
    }
}

/// The operator configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    /// Services by name.
    pub services: IndexMap<ServiceId, ServiceConfig>,
    /// Teams by name.
    pub teams: IndexMap<TeamId, TeamConfig>,
    /// Policy for the selection of backend servers.
    #[serde(default)]
    pub policy: RoutingPolicy,
    /// Weights of response time and wasted messages.
    #[serde(default)]
    pub balance: BalanceConfig,
    /// Time zone of the monthly figures, as an IANA name.
    #[serde(default = "default_time_zone")]
    pub time_zone: CompactString,
    /// Workers that receive no new tasks.
    #[serde(default)]
    pub drained_workers: Vec<CompactString>,
}

fn default_time_zone() -> CompactString {
    "UTC".into()
}

const MAX_WEIGHT: u64 = 1_000;
const POLICIES: &[&str] = &[
    "expected_completion",
    "random",
    "round_robin",
    "least_outstanding",
    "two_choices",
    "slot_credits",
];

const SERVICE_FIELDS: &[FieldRule] = &[
    optional("depends_on", ValueSchema::List(&ValueSchema::Name)),
    required("idempotent", ValueSchema::Boolean),
    optional("deadline_ms", ValueSchema::Integer(1, 3_600_000)),
    optional("declared_ms", ValueSchema::Integer(1, 3_600_000)),
    optional("retry_ratio", ValueSchema::Number(0.0, 1.0)),
];

const TEAM_FIELDS: &[FieldRule] = &[
    optional("weight", ValueSchema::Integer(1, MAX_WEIGHT)),
    optional("task_quota", ValueSchema::Integer(1, 1_000_000)),
];

const BALANCE_FIELDS: &[FieldRule] = &[
    optional("slowdown_weight", ValueSchema::Number(0.0, 1_000.0)),
    optional("waste_weight", ValueSchema::Number(0.0, 1_000.0)),
];

const CONFIG_SCHEMA: ValueSchema = ValueSchema::Object(&[
    required("services", ValueSchema::Map(&ValueSchema::Object(SERVICE_FIELDS))),
    required("teams", ValueSchema::Map(&ValueSchema::Object(TEAM_FIELDS))),
    optional("policy", ValueSchema::OneOf(POLICIES)),
    optional("balance", ValueSchema::Object(BALANCE_FIELDS)),
    optional("time_zone", ValueSchema::Text),
    optional("drained_workers", ValueSchema::List(&ValueSchema::Name)),
]);

/// Reads and validates an operator configuration.
///
/// # Errors
/// Every validation error with its path: schema errors first; without any,
/// unknown dependencies; without those, dependency cycles.
pub fn read_operator_config(text: &str) -> Result<OperatorConfig, Vec<ValidationError>> {
    let operator_config: OperatorConfig = read_document(text, &CONFIG_SCHEMA)?;
    let mut errors = unknown_dependencies(&operator_config);
    if errors.is_empty() {
        errors = dependency_cycles(&operator_config);
    }
    if errors.is_empty() { Ok(operator_config) } else { Err(errors) }
}

fn unknown_dependencies(config: &OperatorConfig) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    for (service, service_config) in &config.services {
        for (position, dependency) in service_config.depends_on.iter().enumerate() {
            if !config.services.contains_key(dependency) {
                let path = format!("$.services.{service}.depends_on[{position}]");
                let expected = format!("expected a declared service, found \"{dependency}\"");
                errors.push(ValidationError { path, expected });
            }
        }
    }
    errors
}

/// Topological sort: repeatedly removes the services without remaining
/// dependencies. What remains is on a cycle or depends on one.
///
/// Source: Kahn, "Topological sorting of large networks", 1962.
fn dependency_cycles(config: &OperatorConfig) -> Vec<ValidationError> {
    let mut remaining: IndexMap<&ServiceId, &ServiceConfig> = config.services.iter().collect();
    loop {
        let before = remaining.len();
        let names: Vec<&ServiceId> = remaining.keys().copied().collect();
        for name in names {
            let blocked = remaining[name]
                .depends_on
                .iter()
                .any(|dependency| remaining.contains_key(dependency));
            if !blocked {
                remaining.shift_remove(name);
            }
        }
        if remaining.len() == before {
            break;
        }
    }
    remaining.keys().map(|service| cycle_error(service)).collect()
}

fn cycle_error(service: &ServiceId) -> ValidationError {
    ValidationError {
        path: format!("$.services.{service}.depends_on"),
        expected: "expected no dependency cycle; this service is on one or depends on one"
            .to_owned(),
    }
}

impl OperatorConfig {
    /// All services that `service` depends on, directly or transitively.
    pub fn dependency_closure(&self, service: &ServiceId) -> Vec<ServiceId> {
        let mut closure: Vec<ServiceId> = Vec::new();
        let mut pending = vec![service.clone()];
        while let Some(name) = pending.pop() {
            let Some(service_config) = self.services.get(&name) else { continue };
            for dependency in &service_config.depends_on {
                if !closure.contains(dependency) {
                    closure.push(dependency.clone());
                    pending.push(dependency.clone());
                }
            }
        }
        closure
    }

    /// Digest of the configuration; equal only for the same services and teams
    /// in the same order, see [`crate::sorted`].
    pub fn digest(&self) -> Fingerprint {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        fingerprint([bytes.as_slice()])
    }
}
