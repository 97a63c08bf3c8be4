//! Checks of a whole configuration that was not read from one set of files.

use lycheedoor_core::config::Config;

/// Returns a message for each reference to a group, workspace or data centre that the configuration
/// does not have.
///
/// Merging two publications can leave such references: one publication may remove what the other
/// refers to.
pub fn check_config(config: &Config) -> Vec<String> {
    let mut faults = Vec::new();
    for (name, route) in &config.routes {
        if !config.groups.contains_key(&route.group) {
            let group = &route.group;
            faults.push(format!(
                "route `{name}` refers to group `{group}`, which does not exist"
            ));
        }
        for workspace in &route.workspaces {
            if !config.workspaces.contains_key(workspace) {
                faults.push(format!(
                    "route `{name}` refers to workspace `{workspace}`, which does not exist"
                ));
            }
        }
    }
    for (name, group) in &config.groups {
        for (member, value) in &group.members {
            let data_centre = &value.data_centre;
            if !config.data_centres.contains_key(data_centre) {
                faults.push(format!(
                    "member `{member}` of group `{name}` is in data centre `{data_centre}`, \
                     which does not exist"
                ));
            }
        }
    }
    faults
}
