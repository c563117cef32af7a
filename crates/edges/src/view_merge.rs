//! Owns the state that a node has learnt from control, into which it merges
//! control's views.
//!
//! Invariant: terms and versions never decrease; an older view is ignored, and
//! so is a delta that does not apply.

use std::sync::Arc;

use indexmap::IndexMap;
use model::{
    ConfigInForce, ConfigUpdate, ConfigVersion, ControlView, Incarnation, MemberRecord,
    MembersUpdate, MembersVersion, NodeId, NodeRole,
};

/// A change of the view that the services of a node are notified of.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ViewUpdate {
    /// This incarnation has ended.
    Fenced,
    /// A newer configuration.
    Config(Arc<ConfigInForce>),
    /// A newer member list.
    Members { agents: Vec<MemberRecord>, entries: usize, fences: IndexMap<NodeId, Incarnation> },
}

/// The state that a node has learnt from control.
#[derive(Debug, Clone)]
pub(crate) struct MergedView {
    member: MemberRecord,
    term: u64,
    config: Option<Arc<ConfigInForce>>,
    /// Set when a delta did not apply, so that the full configuration is
    /// requested.
    delta_failed: bool,
    members_version: MembersVersion,
    members: IndexMap<NodeId, MemberRecord>,
}

impl MergedView {
    pub(crate) fn new(member: MemberRecord) -> MergedView {
        MergedView {
            member,
            term: 0,
            config: None,
            delta_failed: false,
            members_version: 0,
            members: IndexMap::new(),
        }
    }

    pub(crate) fn member(&self) -> &MemberRecord {
        &self.member
    }

    /// The version to report to control; 0 requests the full
    /// configuration.
    pub(crate) fn config_version(&self) -> ConfigVersion {
        if self.delta_failed { 0 } else { self.config.as_ref().map_or(0, |config| config.version) }
    }

    pub(crate) fn members_version(&self) -> MembersVersion {
        self.members_version
    }

    /// Replaces an incarnation that ended by a higher one, `at_least` or above.
    pub(crate) fn start_incarnation(&mut self, at_least: Incarnation) -> Incarnation {
        self.member.incarnation = at_least.max(self.member.incarnation + 1);
        self.member.incarnation
    }

    /// Merges a view and returns what changed.
    pub(crate) fn merge(&mut self, view: ControlView) -> Vec<ViewUpdate> {
        if view.term < self.term {
            return Vec::new();
        }
        self.term = view.term;
        let mut updates = Vec::new();
        if view.fenced {
            updates.push(ViewUpdate::Fenced);
        }
        updates.extend(self.merge_config(view.config));
        updates.extend(view.members.and_then(|update| self.merge_members(update)));
        updates
    }

    fn merge_config(&mut self, update: ConfigUpdate) -> Option<ViewUpdate> {
        let known = self.config.as_ref().map_or(0, |config| config.version);
        let config = match update {
            ConfigUpdate::Current => return None,
            ConfigUpdate::Full { config } => config,
            ConfigUpdate::Delta { version, delta } => {
                let applied = self.config.as_ref().and_then(|config| delta.apply(&config.text));
                let Some(text) = applied else {
                    self.delta_failed = true;
                    return None;
                };
                ConfigInForce { version, text }
            }
        };
        if config.version <= known {
            return None;
        }
        self.delta_failed = false;
        let config = Arc::new(config);
        self.config = Some(Arc::clone(&config));
        Some(ViewUpdate::Config(config))
    }

    fn merge_members(&mut self, update: MembersUpdate) -> Option<ViewUpdate> {
        if update.version <= self.members_version {
            return None;
        }
        self.members_version = update.version;
        if update.full {
            self.members.clear();
        }
        for departed in &update.left {
            self.members.shift_remove(departed);
        }
        for member in update.joined {
            self.members.insert(member.node.clone(), member);
        }
        let role = |role: NodeRole| self.members.values().filter(move |member| member.role == role);
        Some(ViewUpdate::Members {
            agents: role(NodeRole::Agent).cloned().collect(),
            entries: role(NodeRole::Entry).count(),
            fences: update.fences,
        })
    }
}
