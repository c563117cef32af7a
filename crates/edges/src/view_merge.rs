//! Merges what control says into what a node knows.
//!
//! Invariant: versions only grow; what is older, or does not fit, is ignored.

use std::sync::Arc;

use indexmap::IndexMap;
use model::{
    ConfigInForce, ConfigUpdate, ConfigVersion, ControlView, Incarnation, MemberRecord,
    MembersUpdate, MembersVersion, NodeId, NodeRole,
};

/// What is new for the services of a node.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ViewNews {
    /// This incarnation has ended.
    Fenced,
    /// A newer configuration.
    Config(Arc<ConfigInForce>),
    /// A newer member list.
    Members { agents: Vec<MemberRecord>, entries: usize, fences: IndexMap<NodeId, Incarnation> },
}

/// What a node knows from control.
#[derive(Debug, Clone)]
pub(crate) struct MergedView {
    member: MemberRecord,
    term: u64,
    config: Option<Arc<ConfigInForce>>,
    /// Set when a change did not fit, so that the whole text is asked for.
    config_unfit: bool,
    members_version: MembersVersion,
    members: IndexMap<NodeId, MemberRecord>,
}

impl MergedView {
    pub(crate) fn new(member: MemberRecord) -> MergedView {
        MergedView {
            member,
            term: 0,
            config: None,
            config_unfit: false,
            members_version: 0,
            members: IndexMap::new(),
        }
    }

    pub(crate) fn member(&self) -> &MemberRecord {
        &self.member
    }

    /// The version to name to control; 0 asks for the whole text.
    pub(crate) fn config_version(&self) -> ConfigVersion {
        if self.config_unfit { 0 } else { self.config.as_ref().map_or(0, |config| config.version) }
    }

    pub(crate) fn members_version(&self) -> MembersVersion {
        self.members_version
    }

    /// Takes the place of an incarnation that ended.
    pub(crate) fn take_new_incarnation(&mut self, at_least: Incarnation) -> Incarnation {
        self.member.incarnation = at_least.max(self.member.incarnation + 1);
        self.member.incarnation
    }

    /// Takes what is newer than what is known.
    pub(crate) fn merge(&mut self, view: ControlView) -> Vec<ViewNews> {
        if view.term < self.term {
            return Vec::new();
        }
        self.term = view.term;
        let mut news = Vec::new();
        if view.fenced {
            news.push(ViewNews::Fenced);
        }
        news.extend(self.merge_config(view.config));
        news.extend(view.members.and_then(|update| self.merge_members(update)));
        news
    }

    fn merge_config(&mut self, update: ConfigUpdate) -> Option<ViewNews> {
        let known = self.config.as_ref().map_or(0, |config| config.version);
        let config = match update {
            ConfigUpdate::Current => return None,
            ConfigUpdate::Whole { config } => config,
            ConfigUpdate::Delta { version, delta } => {
                let applied = self.config.as_ref().and_then(|config| delta.apply(&config.text));
                let Some(text) = applied else {
                    self.config_unfit = true;
                    return None;
                };
                ConfigInForce { version, text }
            }
        };
        if config.version <= known {
            return None;
        }
        self.config_unfit = false;
        let config = Arc::new(config);
        self.config = Some(Arc::clone(&config));
        Some(ViewNews::Config(config))
    }

    fn merge_members(&mut self, update: MembersUpdate) -> Option<ViewNews> {
        if update.version <= self.members_version {
            return None;
        }
        self.members_version = update.version;
        if update.whole {
            self.members.clear();
        }
        for left in &update.left {
            self.members.shift_remove(left);
        }
        for member in update.joined {
            self.members.insert(member.node.clone(), member);
        }
        let role = |role: NodeRole| self.members.values().filter(move |m| m.role == role);
        Some(ViewNews::Members {
            agents: role(NodeRole::Agent).cloned().collect(),
            entries: role(NodeRole::Entry).count(),
            fences: update.fences,
        })
    }
}
