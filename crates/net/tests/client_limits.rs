//! Decisions about clients that hold too much, in virtual time and without a network.

use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use lycheedoor_net::ClientLedger;
use lycheedoor_net::ClientLimits;
use lycheedoor_net::ClientUsage;
use lycheedoor_net::ExceededLimit;

const SMALLEST_MACHINE_BYTES: u64 = 160_000_000;
const SMALLEST_MACHINE_DESCRIPTORS: usize = 4_300;

fn at(seconds: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_secs(seconds)
}

fn session(held_bytes: usize) -> ClientUsage {
    ClientUsage {
        has_session: true,
        held_bytes,
        ..ClientUsage::default()
    }
}

fn ledger(memory_bytes: u64, descriptors: usize) -> ClientLedger {
    ClientLedger::new(ClientLimits::for_process(memory_bytes, descriptors))
}

/// Guards against defaults that clients within the limits of the users' pages meet: thousands of
/// idle sessions, some messages of the largest size at once, and pauses of seconds.
#[test]
fn clients_within_the_limits_are_not_closed() {
    let mut ledger = ledger(SMALLEST_MACHINE_BYTES, SMALLEST_MACHINE_DESCRIPTORS);
    for number in 0..3_000 {
        assert!(ledger.has_room(400), "{number}");
        ledger.add(number, at(0));
        ledger.update(number, session(200), at(0));
    }
    for number in 0..8 {
        let usage = ClientUsage {
            has_partial_message: true,
            has_unsent_output: true,
            ..session(4 * 1024 * 1024)
        };
        ledger.update(number, usage, at(10));
        assert_eq!(ledger.over_budget(), None);
    }
    assert_eq!(ledger.overdue(at(35)), []);
    // A session is never too old.
    ledger.update(0, session(200), at(36));
    assert!(
        ledger
            .overdue(at(86_400))
            .iter()
            .all(|(number, _)| *number < 8)
    );
    assert!(
        !ledger
            .overdue(at(86_400))
            .iter()
            .any(|(number, _)| *number == 0)
    );
}

/// Guards against closing clients that hold little instead of the one that holds the most, and
/// against bytes that stay accounted after their client has gone.
#[test]
fn client_that_holds_the_most_is_closed() {
    let mut ledger = ledger(4_000, SMALLEST_MACHINE_DESCRIPTORS);
    for (number, held_bytes) in [(1, 300), (2, 600), (3, 90)] {
        ledger.add(number, at(0));
        ledger.update(number, session(held_bytes), at(0));
    }
    assert_eq!(ledger.over_budget(), None);
    ledger.update(3, session(200), at(1));
    assert_eq!(ledger.over_budget(), Some(2));
    ledger.remove(2);
    assert_eq!((ledger.over_budget(), ledger.held_bytes()), (None, 500));
    ledger.update(1, session(10), at(2));
    ledger.remove(2);
    assert_eq!(ledger.held_bytes(), 210);
}

/// Guards against a full process that refuses newcomers, or makes room by closing a client with a
/// request in progress, or one that was used lately.
#[test]
fn idle_connections_make_room() {
    let mut ledger = ledger(4_000, 200 + 8);
    let busy = ClientUsage {
        is_busy: true,
        ..session(0)
    };
    for number in 1..=4 {
        ledger.add(number, at(0));
    }
    assert!(ledger.has_room(2) && !ledger.has_room(3));
    ledger.update(1, busy, at(1));
    ledger.update(2, session(0), at(3));
    ledger.update(3, session(0), at(2));
    assert_eq!(ledger.least_needed(at(4)), Some(4), "has no session");
    ledger.remove(4);
    assert_eq!(ledger.least_needed(at(4)), Some(3), "was idle for longest");
    ledger.remove(3);
    ledger.remove(2);
    assert_eq!(ledger.least_needed(at(4)), None);
}

/// Guards against a full process that closes each newcomer for the next one before it has read the
/// newcomer's first message, and against a crowd of newcomers that takes the place of sessions.
#[test]
fn newcomers_have_time_to_open_a_session() {
    let mut ledger = ledger(4_000, SMALLEST_MACHINE_DESCRIPTORS);
    for number in 0..80 {
        ledger.add(number, at(0));
        ledger.update(number, session(0), at(number));
    }
    for number in 80..89 {
        ledger.add(number, at(100));
        assert_eq!(ledger.least_needed(at(100)), Some(0), "{number}");
    }
    assert_eq!(ledger.least_needed(at(103)), Some(80), "sends nothing");
    for number in 89..95 {
        ledger.add(number, at(100));
    }
    assert_eq!(ledger.least_needed(at(100)), Some(80), "is one of a crowd");
}

/// Guards against clients that keep a connection by sending or reading a little from time to time,
/// and against a time that counts for the next message.
#[test]
fn slow_clients_are_overdue() {
    let mut ledger = ledger(4_000_000, SMALLEST_MACHINE_DESCRIPTORS);
    let sends = ClientUsage {
        has_partial_message: true,
        ..session(10)
    };
    let reads = ClientUsage {
        has_unsent_output: true,
        ..session(10)
    };
    for number in 1..=4 {
        ledger.add(number, at(0));
    }
    for second in 0..=31 {
        ledger.update(2, sends, at(second));
        ledger.update(3, reads, at(second));
        if second == 20 {
            ledger.message_completed(4);
        }
        ledger.update(4, sends, at(second));
    }
    let overdue = [
        (1, ExceededLimit::StartTimeout),
        (2, ExceededLimit::MessageTimeout),
        (3, ExceededLimit::OutputTimeout),
    ];
    assert_eq!(ledger.overdue(at(31)), overdue);
}
