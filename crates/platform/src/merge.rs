//! Three-way merge of declaration files with the changes of other operators.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Display;

use lycheedoor_core::config::Config;
use lycheedoor_core::config::DataCentre;
use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::Group;
use lycheedoor_core::config::KeyDigest;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::config::Workspace;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::WorkspaceId;

use crate::published::PublishedConfig;

/// Two publications change the same entries in different ways.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("another publication has changed {} in a different way", .0.join(", "))]
pub struct MergeConflict(Vec<String>);

/// A publication of declaration files: the change from the configuration that its operator has read
/// to the one that the files declare.
#[derive(Clone)]
pub struct Publication {
    base: PublishedConfig,
    declared: PublishedConfig,
}

impl Publication {
    /// Creates a publication of `declared` relative to `base`, the configuration that was read.
    ///
    /// The publication removes entries of `base` that the files do not declare.
    pub fn new(base: PublishedConfig, declared: Config) -> Self {
        let mut declared = PublishedConfig {
            config: declared,
            operator: base.operator.clone(),
        };
        declared.apply_key_changes();
        Self { base, declared }
    }

    /// Returns `current` with this publication applied.
    ///
    /// Changes that others have made since `base` are kept: states of data centres and members,
    /// keys, and every entry that this publication does not change.
    ///
    /// # Errors
    ///
    /// Returns the entries that this publication and another one have changed in different ways.
    pub fn apply(&self, current: &PublishedConfig) -> Result<PublishedConfig, MergeConflict> {
        let base = &self.base.config;
        let mine = &self.declared.config;
        let theirs = &current.config;
        let mut conflicts = Vec::new();
        let mut merged = PublishedConfig {
            config: Config {
                version: theirs.version,
                workspaces: merge_workspaces(base, mine, theirs, &mut conflicts),
                routes: merge_maps(
                    "route",
                    [&base.routes, &mine.routes, &theirs.routes],
                    &mut conflicts,
                ),
                groups: merge_groups(base, mine, theirs, &mut conflicts),
                data_centres: merge_data_centres(base, mine, theirs, &mut conflicts),
                session_secrets: merge_secrets(base, mine, theirs, &mut conflicts),
            },
            operator: current.operator.clone(),
        };
        if !conflicts.is_empty() {
            return Err(MergeConflict(conflicts));
        }
        let workspaces = &merged.config.workspaces;
        merged
            .operator
            .keys_added
            .retain(|name, _| workspaces.contains_key(name));
        merged.apply_key_changes();
        Ok(merged)
    }
}

/// Returns the merged entry, or `None` if both sides have changed it from `base` in different ways.
fn merge_entry<V: PartialEq>(base: V, mine: V, theirs: V) -> Option<V> {
    if theirs == base || theirs == mine {
        Some(mine)
    } else {
        (mine == base).then_some(theirs)
    }
}

/// Merges the entries of `maps`, which are base, mine and theirs.
fn merge_maps<K: Clone + Ord + Display, V: Clone + PartialEq>(
    kind: &str,
    maps: [&BTreeMap<K, V>; 3],
    conflicts: &mut Vec<String>,
) -> BTreeMap<K, V> {
    let names: BTreeSet<&K> = maps.iter().flat_map(|map| map.keys()).collect();
    let mut merged = BTreeMap::new();
    for name in names {
        let [base, mine, theirs] = maps.map(|map| map.get(name));
        match merge_entry(base, mine, theirs) {
            Some(Some(value)) => {
                merged.insert(name.clone(), value.clone());
            }
            Some(None) => {}
            None => conflicts.push(format!("{kind} `{name}`")),
        }
    }
    merged
}

fn merge_workspaces(
    base: &Config,
    mine: &Config,
    theirs: &Config,
    conflicts: &mut Vec<String>,
) -> BTreeMap<WorkspaceId, Workspace> {
    let without_keys = [base, mine, theirs].map(|config| {
        let mut workspaces = config.workspaces.clone();
        for workspace in workspaces.values_mut() {
            workspace.keys.clear();
        }
        workspaces
    });
    let mut merged = merge_maps("workspace", without_keys.each_ref(), conflicts);
    for (name, workspace) in &mut merged {
        let keys = |config: &Config| {
            let workspace = config.workspaces.get(name);
            workspace
                .map(|workspace| workspace.keys.clone())
                .unwrap_or_default()
        };
        workspace.keys = merge_keys(&keys(base), &keys(mine), &keys(theirs));
    }
    merged
}

/// Returns the keys that both sides contain and those that either side has added.
fn merge_keys(base: &[KeyDigest], mine: &[KeyDigest], theirs: &[KeyDigest]) -> Vec<KeyDigest> {
    let kept_mine = |key: &&KeyDigest| theirs.contains(key) || !base.contains(key);
    let added_theirs = |key: &&KeyDigest| !mine.contains(key) && !base.contains(key);
    let mine = mine.iter().filter(kept_mine);
    mine.chain(theirs.iter().filter(added_theirs))
        .copied()
        .collect()
}

fn merge_groups(
    base: &Config,
    mine: &Config,
    theirs: &Config,
    conflicts: &mut Vec<String>,
) -> BTreeMap<GroupId, Group> {
    let without_availability = [base, mine, theirs].map(|config| {
        let mut groups = config.groups.clone();
        for member in groups
            .values_mut()
            .flat_map(|group| group.members.values_mut())
        {
            member.availability = MemberAvailability::Active;
        }
        groups
    });
    let mut merged = merge_maps("group", without_availability.each_ref(), conflicts);
    for (name, group) in &mut merged {
        let Some(current) = theirs.groups.get(name) else {
            continue;
        };
        for (member, value) in &mut group.members {
            if let Some(current) = current.members.get(member) {
                value.availability = current.availability;
            }
        }
    }
    merged
}

fn merge_data_centres(
    base: &Config,
    mine: &Config,
    theirs: &Config,
    conflicts: &mut Vec<String>,
) -> BTreeMap<DataCentreId, DataCentre> {
    let in_service = [base, mine, theirs].map(|config| {
        let names = config.data_centres.keys().cloned();
        names.map(|name| (name, DataCentreState::In)).collect()
    });
    let merged = merge_maps("data centre", in_service.each_ref(), conflicts);
    merged
        .into_keys()
        .map(|name| {
            let current = theirs.data_centres.get(&name).cloned();
            (name, current.unwrap_or_default())
        })
        .collect()
}

fn merge_secrets(
    base: &Config,
    mine: &Config,
    theirs: &Config,
    conflicts: &mut Vec<String>,
) -> Vec<String> {
    let [base, mine, theirs] = [base, mine, theirs].map(|config| &config.session_secrets);
    merge_entry(base, mine, theirs).cloned().unwrap_or_else(|| {
        conflicts.push("the session secrets".into());
        Vec::new()
    })
}
