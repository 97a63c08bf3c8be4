//! Configuration changes that operators make with individual commands.

use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::KeyDigest;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::WorkspaceId;

use crate::published::PublishedConfig;

/// A change refers to something that the configuration does not contain.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The configuration has no workspace of this name.
    #[error("there is no workspace `{0}`")]
    NoWorkspace(WorkspaceId),
    /// The configuration has no data centre of this name.
    #[error("there is no data centre `{0}`")]
    NoDataCentre(DataCentreId),
    /// The configuration has no group of this name.
    #[error("there is no group `{0}`")]
    NoGroup(GroupId),
    /// The group exists but has no member of this name.
    #[error("group `{0}` has no member `{1}`")]
    NoMember(GroupId, MemberId),
}

/// A single configuration change, as an operator's command makes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorChange {
    /// Grants a workspace a key.
    AddKey {
        /// The workspace that the key belongs to.
        workspace: WorkspaceId,
        /// The digest under which the configuration stores the key.
        key: KeyDigest,
    },
    /// Revokes a key, even if a declaration file lists it.
    WithdrawKey {
        /// The workspace that the key belongs to.
        workspace: WorkspaceId,
        /// The digest under which the configuration stores the key.
        key: KeyDigest,
    },
    /// Takes a data centre out of service or returns it to service.
    SetDataCentre {
        /// The data centre whose state is set.
        data_centre: DataCentreId,
        /// Whether the data centre accepts new work.
        state: DataCentreState,
    },
    /// Marks a member as leaving its group or as active again.
    SetMember {
        /// The group that the member belongs to.
        group: GroupId,
        /// The member whose availability is set.
        member: MemberId,
        /// Whether the member accepts new work.
        availability: MemberAvailability,
    },
}

impl OperatorChange {
    /// Returns `current` with the change applied; the result equals `current` if the change is
    /// already in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the change refers to something that the configuration does not contain.
    pub fn apply(&self, current: &PublishedConfig) -> Result<PublishedConfig, ChangeError> {
        let mut next = current.clone();
        match self {
            Self::AddKey { workspace, key } => change_key(&mut next, workspace, *key, true)?,
            Self::WithdrawKey { workspace, key } => change_key(&mut next, workspace, *key, false)?,
            Self::SetDataCentre { data_centre, state } => {
                next.config
                    .data_centres
                    .get_mut(data_centre)
                    .ok_or_else(|| ChangeError::NoDataCentre(data_centre.clone()))?
                    .state = *state;
            }
            Self::SetMember {
                group,
                member,
                availability,
            } => {
                let members = &mut next
                    .config
                    .groups
                    .get_mut(group)
                    .ok_or_else(|| ChangeError::NoGroup(group.clone()))?
                    .members;
                members
                    .get_mut(member)
                    .ok_or_else(|| ChangeError::NoMember(group.clone(), member.clone()))?
                    .availability = *availability;
            }
        }
        Ok(next)
    }
}

fn change_key(
    next: &mut PublishedConfig,
    workspace: &WorkspaceId,
    key: KeyDigest,
    accept: bool,
) -> Result<(), ChangeError> {
    if !next.config.workspaces.contains_key(workspace) {
        return Err(ChangeError::NoWorkspace(workspace.clone()));
    }
    let changes = &mut next.operator;
    let (to, from) = if accept {
        (&mut changes.keys_added, &mut changes.keys_withdrawn)
    } else {
        (&mut changes.keys_withdrawn, &mut changes.keys_added)
    };
    if let Some(keys) = from.get_mut(workspace) {
        keys.retain(|other| *other != key);
    }
    from.retain(|_, keys| !keys.is_empty());
    let keys = to.entry(workspace.clone()).or_default();
    if !keys.contains(&key) {
        keys.push(key);
    }
    next.apply_key_changes();
    Ok(())
}
