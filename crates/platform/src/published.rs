//! Contents of the configuration object.

use std::collections::BTreeMap;
use std::fmt;

use lycheedoor_core::config::Config;
use lycheedoor_core::config::KeyDigest;
use lycheedoor_core::types::Nonce;
use lycheedoor_core::types::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::call;
use crate::error::PlatformError;

/// How many nonces of past updates are kept. An update whose response was lost looks for its own
/// nonce among them.
const MAX_RECENT_UPDATES: usize = 64;

/// The configuration, with the changes that operators made outside of the declaration files.
///
/// VMs decode the same object as a plain `Config`, which ignores the additional field.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedConfig {
    /// The configuration in force, with the operators' changes already applied.
    #[serde(flatten)]
    pub config: Config,
    /// The changes that operators made outside of the declaration files.
    #[serde(default)]
    pub operator: OperatorChanges,
}

/// Operators' changes that a later publication of declaration files must preserve.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorChanges {
    /// Keys that an operator's command granted, by workspace.
    #[serde(default)]
    pub keys_added: BTreeMap<WorkspaceId, Vec<KeyDigest>>,
    /// Keys that an operator's command withdrew, by workspace; a declaration file that lists such a
    /// key does not reinstate it.
    #[serde(default)]
    pub keys_withdrawn: BTreeMap<WorkspaceId, Vec<KeyDigest>>,
    /// The nonces of the most recent updates, oldest first.
    #[serde(default)]
    pub recent_updates: Vec<Nonce>,
}

impl fmt::Debug for PublishedConfig {
    /// Prints only the version, because the configuration contains session secrets.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PublishedConfig")
            .field("version", &self.config.version)
            .finish_non_exhaustive()
    }
}

impl PublishedConfig {
    /// Decodes the value of the configuration object; an empty value is the default configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a valid configuration.
    pub fn from_value(value: &[u8]) -> Result<Self, PlatformError> {
        if value.is_empty() {
            return Ok(Self::default());
        }
        call::from_json(value).map_err(|_| PlatformError::Malformed("configuration object"))
    }

    /// Encodes this as the value of the configuration object.
    pub fn to_value(&self) -> Vec<u8> {
        call::to_json(self)
    }

    /// Sets the version that follows that of `previous`, and appends the update's nonce to the
    /// recent ones.
    pub(crate) fn become_successor_of(&mut self, previous: &Self, nonce: Nonce) {
        self.config.version = previous.config.version + 1;
        let mut recent = previous.operator.recent_updates.clone();
        recent.push(nonce);
        let excess = recent.len().saturating_sub(MAX_RECENT_UPDATES);
        recent.drain(..excess);
        self.operator.recent_updates = recent;
    }

    /// Adds and removes the keys that operators granted and withdrew.
    pub(crate) fn apply_key_changes(&mut self) {
        let workspaces = &mut self.config.workspaces;
        for (name, added) in &self.operator.keys_added {
            if let Some(workspace) = workspaces.get_mut(name) {
                for key in added {
                    if !workspace.keys.contains(key) {
                        workspace.keys.push(*key);
                    }
                }
            }
        }
        for (name, withdrawn) in &self.operator.keys_withdrawn {
            if let Some(workspace) = workspaces.get_mut(name) {
                workspace.keys.retain(|key| !withdrawn.contains(key));
            }
        }
    }
}
