//! Owns the operators' text: services and what they depend on, teams with
//! quotas, routing policy and the balance of the two measures.
//!
//! Invariant: a text that was read names only services that exist and has no
//! dependency cycle.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::ids::{Fingerprint, ServiceId, TeamId};
use crate::payload::fingerprint;
use crate::schema::{FieldRule, Mistake, Shape, optional, read_document, required};

/// How an entry picks a backend server for a task.
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
    /// Least expected completion time, with learnt run times; waits at the
    /// entry for a free slot.
    #[default]
    ExpectedCompletion,
    /// Any instance.
    Random,
    /// Each instance in turn.
    RoundRobin,
    /// Fewest tasks outstanding.
    LeastOutstanding,
    /// The less loaded of two random instances.
    TwoChoices,
    /// Only as many tasks as the agent's share of slots for this entry.
    SlotCredits,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceText {
    /// Services that must have a live backend server for this one to work.
    #[serde(default)]
    pub depends_on: Vec<ServiceId>,
    /// Whether a request may be repeated.
    pub idempotent: bool,
    /// Deadline of requests that name none, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Declared run time of a task that declares none, in milliseconds.
    #[serde(default = "default_declared")]
    pub declared_ms: u32,
    /// Retries allowed for each request, as a ratio.
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

impl ServiceText {
    /// Deadline of requests that name none.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Declared run time of a task that declares none.
    pub fn declared(&self) -> Duration {
        Duration::from_millis(u64::from(self.declared_ms))
    }
}

/// A team and its quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamText {
    /// Share relative to other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Tasks running and waiting at a time, over all of its jobs at one entry.
    #[serde(default = "default_quota")]
    pub task_quota: u32,
}

fn default_weight() -> u32 {
    1
}

fn default_quota() -> u32 {
    5_000
}

/// The balance between the two measures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalanceText {
    /// Weight of response time.
    pub slowdown_weight: f64,
    /// Weight of wasted messages.
    pub waste_weight: f64,
}

impl Default for BalanceText {
    fn default() -> BalanceText {
        BalanceText { slowdown_weight: 0.5, waste_weight: 0.5 }
    }
}

impl BalanceText {
    /// Share of the weight that wasted messages have, from 0 to 1.
    pub fn waste_share(&self) -> f64 {
        let total = self.slowdown_weight + self.waste_weight;
        if total > 0.0 { self.waste_weight / total } else { 0.5 }
    }
}

/// The operators' text.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorText {
    /// The services.
    pub services: IndexMap<ServiceId, ServiceText>,
    /// The teams.
    pub teams: IndexMap<TeamId, TeamText>,
    /// Routing policy.
    #[serde(default)]
    pub policy: RoutingPolicy,
    /// Balance of the two measures.
    #[serde(default)]
    pub balance: BalanceText,
    /// Time zone of the monthly figures, by its IANA name.
    #[serde(default = "default_time_zone")]
    pub time_zone: CompactString,
    /// Workers that get no new work.
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
    optional("depends_on", Shape::List(&Shape::Name)),
    required("idempotent", Shape::Flag),
    optional("deadline_ms", Shape::Count(1, 3_600_000)),
    optional("declared_ms", Shape::Count(1, 3_600_000)),
    optional("retry_ratio", Shape::Ratio(0.0, 1.0)),
];

const TEAM_FIELDS: &[FieldRule] = &[
    optional("weight", Shape::Count(1, MAX_WEIGHT)),
    optional("task_quota", Shape::Count(1, 1_000_000)),
];

const BALANCE_FIELDS: &[FieldRule] = &[
    optional("slowdown_weight", Shape::Ratio(0.0, 1_000.0)),
    optional("waste_weight", Shape::Ratio(0.0, 1_000.0)),
];

const TEXT_SHAPE: Shape = Shape::Object(&[
    required("services", Shape::Map(&Shape::Object(SERVICE_FIELDS))),
    required("teams", Shape::Map(&Shape::Object(TEAM_FIELDS))),
    optional("policy", Shape::Word(POLICIES)),
    optional("balance", Shape::Object(BALANCE_FIELDS)),
    optional("time_zone", Shape::Text),
    optional("drained_workers", Shape::List(&Shape::Name)),
]);

/// Reads an operators' text.
///
/// # Errors
/// Every mistake with its place: shapes first; when those are right, unknown
/// dependencies and dependency cycles.
pub fn read_operator_text(text: &str) -> Result<OperatorText, Vec<Mistake>> {
    let operator_text: OperatorText = read_document(text, &TEXT_SHAPE)?;
    let mut mistakes = unknown_dependencies(&operator_text);
    if mistakes.is_empty() {
        mistakes = dependency_cycles(&operator_text);
    }
    if mistakes.is_empty() { Ok(operator_text) } else { Err(mistakes) }
}

fn unknown_dependencies(text: &OperatorText) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    for (service, service_text) in &text.services {
        for (position, needed) in service_text.depends_on.iter().enumerate() {
            if !text.services.contains_key(needed) {
                let place = format!("$.services.{service}.depends_on[{position}]");
                let expected = format!("expected a declared service, found \"{needed}\"");
                mistakes.push(Mistake { place, expected });
            }
        }
    }
    mistakes
}

/// Removes services whose dependencies are all removed until none is left to
/// remove: what remains is on a cycle or depends on one.
///
/// Source: Kahn, "Topological sorting of large networks", 1962.
fn dependency_cycles(text: &OperatorText) -> Vec<Mistake> {
    let mut left: IndexMap<&ServiceId, &ServiceText> = text.services.iter().collect();
    loop {
        let before = left.len();
        let names: Vec<&ServiceId> = left.keys().copied().collect();
        for name in names {
            let blocked = left[name].depends_on.iter().any(|needed| left.contains_key(needed));
            if !blocked {
                left.shift_remove(name);
            }
        }
        if left.len() == before {
            break;
        }
    }
    left.keys().map(|service| cycle_mistake(service)).collect()
}

fn cycle_mistake(service: &ServiceId) -> Mistake {
    Mistake {
        place: format!("$.services.{service}.depends_on"),
        expected: "expected no dependency cycle; this service is on one or depends on one"
            .to_owned(),
    }
}

impl OperatorText {
    /// All services that `service` needs, directly or through others.
    pub fn dependency_closure(&self, service: &ServiceId) -> Vec<ServiceId> {
        let mut found: Vec<ServiceId> = Vec::new();
        let mut open = vec![service.clone()];
        while let Some(name) = open.pop() {
            let Some(text) = self.services.get(&name) else { continue };
            for needed in &text.depends_on {
                if !found.contains(needed) {
                    found.push(needed.clone());
                    open.push(needed.clone());
                }
            }
        }
        found
    }

    /// Digest that two holders of the same text share.
    pub fn digest(&self) -> Fingerprint {
        let text = serde_json::to_vec(self).unwrap_or_default();
        fingerprint([text.as_slice()])
    }
}
