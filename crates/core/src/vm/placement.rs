//! The placement of members, as replica selection uses it.

use crate::config::Config;
use crate::config::DataCentreState;
use crate::config::MemberAvailability;
use crate::session::MemberPlacement;
use crate::session::SelectorEvent;
use crate::types::DataCentreId;

/// The distance of a member in another data centre; members in the VM's own data centre have
/// distance 0. The configuration specifies no distances, and the data centres of a site are about
/// equally far apart.
const OTHER_DATA_CENTRE_US: u32 = 1_500;

/// Returns the events that update replica selection to a new version of the configuration.
pub(super) fn selector_events(
    previous: Option<&Config>,
    config: &Config,
    own_data_centre: &DataCentreId,
) -> Vec<SelectorEvent> {
    let mut events = Vec::new();
    for (group_id, group) in previous.iter().flat_map(|config| &config.groups) {
        let kept = config.groups.get(group_id);
        for member in group.members.keys() {
            if !kept.is_some_and(|kept| kept.members.contains_key(member)) {
                events.push(SelectorEvent::MemberRemoved {
                    group: group_id.clone(),
                    member: member.clone(),
                });
            }
        }
    }
    for (group_id, group) in &config.groups {
        for (member_id, member) in &group.members {
            let state = config.data_centres.get(&member.data_centre);
            let is_local = member.data_centre == *own_data_centre;
            let place = MemberPlacement {
                distance_us: if is_local { 0 } else { OTHER_DATA_CENTRE_US },
                data_centre_out: state.is_none_or(|found| found.state == DataCentreState::Out),
                leaving: member.availability == MemberAvailability::Leaving,
            };
            events.push(SelectorEvent::MemberConfigured {
                group: group_id.clone(),
                member: member_id.clone(),
                place,
            });
        }
    }
    events
}
