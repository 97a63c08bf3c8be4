//! Scarce room at a member: which callers get it, over all VMs that send to the member.

mod room;

use std::time::Duration;

use room::Counts;
use room::Load;
use room::Room;

const SECOND: Duration = Duration::from_secs(1);

/// The least part of the reservations, in percent, that are served in time while they alone need
/// less than half of the slots.
const MIN_RESERVATIONS_IN_TIME: u32 = 90;

/// The least part of the lookups, in percent, that are served whatever higher priorities need.
const MIN_LOOKUPS_SERVED: u32 = 5;

/// Reservations, updates and lookups for which the slots suffice.
const CALM: Load = Load {
    per_s: [60, 40, 20],
    first_workspace_percent: 0,
};

/// The same beside lookups that would fill all slots one and a half times.
const LOOKUP_BURST: Load = Load {
    per_s: [60, 40, 200],
    first_workspace_percent: 0,
};

/// Reservations that need more than all slots.
const RESERVATION_FLOOD: Load = Load {
    per_s: [800, 40, 20],
    first_workspace_percent: 0,
};

const NOTHING: Load = Load {
    per_s: [0; 3],
    first_workspace_percent: 0,
};

/// Plays a load after a calm second.
fn play(mut room: Room, load: Load) -> Room {
    room.play(SECOND, CALM);
    room.reset_counts();
    room.play(SECOND * 4, load);
    // The last statements are answered.
    room.play(SECOND, NOTHING);
    room
}

fn assert_reservations_come_first(room: &Room) {
    let [reservations, updates, lookups] = room.by_route.map(Counts::percent_in_time);
    let is_served =
        reservations >= MIN_RESERVATIONS_IN_TIME && reservations >= updates.max(lookups);
    assert!(is_served, "{:?}", room.by_route);
}

/// Guards against lookups that fill the member's queue, so that reservations arrive behind them.
#[test]
fn reservations_are_in_time_beside_a_burst_of_lookups() {
    assert_reservations_come_first(&play(Room::start(56, true), LOOKUP_BURST));
}

/// Guards against a decision that depends on messages: homes that cannot talk see the same delays.
#[test]
fn reservations_are_in_time_while_homes_cannot_talk() {
    let mut room = Room::start(56, true);
    room.vms_talk = false;
    assert_reservations_come_first(&play(room, LOOKUP_BURST));
}

/// Guards against a reservation that waits for a connection which lookups keep.
#[test]
fn reservations_are_in_time_when_connections_are_few() {
    assert_reservations_come_first(&play(Room::start(20, true), LOOKUP_BURST));
}

/// Guards against a workspace that floods the member with updates and thereby delays others.
#[test]
fn a_flood_of_one_workspace_leaves_the_others_in_time() {
    let flood = Load {
        per_s: [60, 300, 20],
        first_workspace_percent: 70,
    };
    let room = play(Room::start(56, true), flood);
    let others = room.by_workspace.iter().filter(|(number, _)| **number > 0);
    let worst = others.map(|(_, counts)| counts.percent_in_time()).min();
    let reservations = room.by_route[0].percent_in_time();
    assert!(
        reservations >= MIN_RESERVATIONS_IN_TIME && worst >= Some(50),
        "{:?} {:?}",
        room.by_route,
        room.by_workspace
    );
}

/// Guards against a lowest kind that gets nothing while higher ones need all room.
#[test]
fn lookups_keep_a_floor_beside_a_flood_of_reservations() {
    let room = play(Room::start(56, true), RESERVATION_FLOOD);
    let [_, updates, lookups] = room.by_route;
    for counts in [updates, lookups] {
        let served = (counts.in_time + counts.late) * 100 / counts.sent;
        assert!(served >= MIN_LOOKUPS_SERVED, "{:?}", room.by_route);
    }
}

/// Guards against room that is kept after the need has ended, and against room that a home keeps
/// from others by dying while it wants some.
#[test]
fn lower_priorities_use_all_room_again_after_a_home_has_died() {
    let mut room = play(Room::start(56, true), LOOKUP_BURST);
    room.dark = vec![1, 5];
    let half_second = SECOND / 2;
    let lookups_only = Load {
        per_s: [0, 0, 80],
        first_workspace_percent: 0,
    };
    room.play(SECOND * 3, lookups_only);
    room.reset_counts();
    room.play(half_second * 4, lookups_only);
    assert!(
        room.by_route[2].percent_in_time() >= 80,
        "{:?}",
        room.by_route
    );
}

/// Guards against calm times in which priority costs messages or delays anyone.
#[test]
fn nothing_is_held_back_while_the_slots_suffice() {
    let room = play(Room::start(56, true), CALM);
    let least = room.by_route.map(Counts::percent_in_time).into_iter().min();
    assert!(least >= Some(98), "{:?}", room.by_route);
    assert!(room.room_messages <= 40, "{} messages", room.room_messages);
}

/// Guards against a change for groups whose configuration states limits for cold members.
#[test]
fn groups_without_adaptive_load_send_no_messages_about_room() {
    let room = play(Room::start(56, false), LOOKUP_BURST);
    assert_eq!(room.room_messages, 0);
}
