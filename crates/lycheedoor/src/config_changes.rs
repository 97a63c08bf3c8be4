//! Log events for the differences between two versions of the configuration.

use lycheedoor_core::config::Config;
use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::KeyDigest;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::events;

/// Logs the changes between two versions of the configuration. Keys are counted and never logged.
pub(crate) fn emit_config_changes(previous: &Config, config: &Config) {
    for (id, data_centre) in &config.data_centres {
        let before = previous.data_centres.get(id);
        if before.is_some_and(|before| before.state != data_centre.state) {
            let state = match data_centre.state {
                DataCentreState::In => "in",
                DataCentreState::Out => "out",
            };
            let values = [id.as_str().into(), state.into()];
            emit(&events::DATA_CENTRE_CHANGED, &values);
        }
    }
    emit_member_changes(previous, config);
    for (id, workspace) in &config.workspaces {
        let before = previous.workspaces.get(id);
        let before = before.map_or(&[][..], |before| before.keys.as_slice());
        let added = missing_count(&workspace.keys, before);
        let withdrawn = missing_count(before, &workspace.keys);
        if added + withdrawn > 0 {
            let values = [id.as_str().into(), added.into(), withdrawn.into()];
            emit(&events::KEYS_CHANGED, &values);
        }
    }
}

fn emit_member_changes(previous: &Config, config: &Config) {
    for (group_id, group) in &config.groups {
        for (id, member) in &group.members {
            let before = previous.groups.get(group_id);
            let before = before.and_then(|group| group.members.get(id));
            if before.is_some_and(|before| before.availability != member.availability) {
                let availability = match member.availability {
                    MemberAvailability::Active => "active",
                    MemberAvailability::Leaving => "leaving",
                };
                let values = [
                    group_id.as_str().into(),
                    id.as_str().into(),
                    availability.into(),
                ];
                emit(&events::MEMBER_CHANGED, &values);
            }
        }
    }
}

/// Returns how many of the given keys another list does not contain.
fn missing_count(keys: &[KeyDigest], other: &[KeyDigest]) -> usize {
    keys.iter().filter(|key| !other.contains(key)).count()
}
