//! Messages of other VMs whose bytes were changed on the way, but which can still be decoded.

mod support;

use std::time::Duration;

use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::VmId;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::PoolMessage;
use lycheedoor_pool::RateRule;
use proptest::prelude::*;
use support::PRIMARY;
use support::PoolHarness;
use support::config;

const VMS: [&str; 2] = ["vm-1", "vm-2"];

/// Changed messages that one pool gets in succession.
const MESSAGES_PER_CASE: usize = 8;

fn start(vm: &str, peer: &str) -> PoolHarness {
    let mut limited = config(1);
    for rule in limited.rates.values_mut() {
        // Few enough tokens that the VMs ask each other for some.
        *rule = RateRule {
            per_s: 20,
            burst: 20,
        };
    }
    PoolHarness::start_as(vm, &[peer], limited)
}

/// Removes and returns the messages that a pool has sent.
fn take_messages(harness: &mut PoolHarness) -> Vec<PoolMessage> {
    let actions = std::mem::take(&mut harness.other_actions);
    let messages = actions.into_iter().filter_map(|action| match action {
        PoolAction::SendPeer { message, .. } | PoolAction::AnswerPeer { message, .. } => {
            Some(message)
        }
        _ => None,
    });
    messages.collect()
}

fn receive(harness: &mut PoolHarness, from: &str, message: PoolMessage) {
    harness.event(PoolEvent::PeerSent {
        from: VmId::from(from),
        incarnation: Incarnation(7),
        message,
    });
}

/// Runs two VMs whose callers send statements, and returns what the VMs send each other, encoded.
fn encoded_messages() -> Vec<Vec<u8>> {
    let [home, entry] = VMS;
    let mut pools = [start(home, entry), start(entry, home)];
    let mut encoded = Vec::new();
    for round in 0..40 {
        for pool in &mut pools {
            let caller = pool.open_session("session-db");
            pool.query(caller, "BEGIN");
            pool.query(caller, "WRITE x 1");
            pool.query(caller, "COMMIT");
            pool.advance(50);
            pool.answer_all_commands(round);
        }
        for (from, to) in [(0, 1), (1, 0)] {
            for message in take_messages(&mut pools[from]) {
                encoded.push(rmp_serde::to_vec(&message).unwrap());
                receive(&mut pools[to], VMS[from], message);
            }
        }
    }
    let contact = PoolMessage::AskContact {
        group: support::GROUP.into(),
        member: PRIMARY.into(),
    };
    receive(&mut pools[0], VMS[1], contact.clone());
    let sent = take_messages(&mut pools[0]);
    let sent = sent.into_iter().chain([contact]);
    encoded.extend(sent.map(|message| rmp_serde::to_vec(&message).unwrap()));
    encoded
}

/// Guards against a run of the other test that sends only one or two kinds of messages.
#[test]
fn exchanged_messages_are_of_many_kinds() {
    let encoded = encoded_messages();
    let decoded = encoded
        .iter()
        .map(|bytes| rmp_serde::from_slice::<PoolMessage>(bytes).unwrap());
    let mut kinds: Vec<_> = decoded
        .map(|message| std::mem::discriminant(&message))
        .collect();
    kinds.dedup();
    let mut distinct = Vec::new();
    for kind in kinds {
        if !distinct.contains(&kind) {
            distinct.push(kind);
        }
    }
    assert!(distinct.len() >= 7, "{} kinds", distinct.len());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    /// Guards against a process that ends because another VM has sent it something unexpected.
    #[test]
    fn changed_messages_of_other_vms_never_panic(
        changes in prop::collection::vec(
            (any::<prop::sample::Index>(), any::<prop::sample::Index>(), any::<u8>(), any::<bool>()),
            MESSAGES_PER_CASE,
        ),
    ) {
        thread_local! {
            static ENCODED: Vec<Vec<u8>> = encoded_messages();
        }
        let [home, entry] = VMS;
        let mut pool = start(home, entry);
        let caller = pool.open_session("session-db");
        for (message, at, byte, is_known) in changes {
            let mut bytes = ENCODED.with(|encoded| message.get(encoded).clone());
            let at = at.index(bytes.len());
            bytes[at] = byte;
            let sender = if is_known { entry } else { "vm-9" };
            if let Ok(message) = rmp_serde::from_slice::<PoolMessage>(&bytes) {
                receive(&mut pool, sender, message);
            }
            pool.query(caller, "WRITE x 1");
            pool.advance(60);
            pool.answer_all_commands(1);
        }
        let wait = pool.pool.next_deadline().since(pool.now);
        prop_assert!(wait < Duration::from_secs(3600));
    }
}
