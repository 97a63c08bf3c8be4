//! A group whose primary is dead, and the steps with which a VM replaces it.

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::VmId;
use lycheedoor_pool::FleetRecord;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::PoolMessage;
use lycheedoor_pool::StoreRevision;
use lycheedoor_pool::TransactionState;
use lycheedoor_pool::WriteOutcome;

use super::GROUP;
use super::PRIMARY;
use super::PoolHarness;

pub(crate) const PEERS: [&str; 2] = ["vm-2", "vm-3"];

/// Advances the time while connections to the primary are refused and the replicas answer.
pub(crate) fn advance_with_dead_primary(harness: &mut PoolHarness, millis: u64) {
    advance_with_dead(harness, millis, &[PRIMARY]);
}

/// Advances the time while connections to some members are refused and the other replicas answer.
pub(crate) fn advance_with_dead(harness: &mut PoolHarness, millis: u64, members: &[&str]) {
    for _ in 0..millis / 5 {
        harness.advance(5);
        let dead = harness.links.iter();
        let dead = dead.filter(|(_, link)| members.contains(&link.member.as_str()));
        let dead: Vec<ConnectionId> = dead.map(|(id, _)| *id).collect();
        for link in dead {
            harness.links.remove(&link);
            harness.event(PoolEvent::LinkClosed { link });
        }
        harness.accept_links();
        for (replica, received) in [("m2", 8), ("m3", 9)] {
            while let Some((link, command)) = harness.take_command(replica) {
                match command {
                    MemberCommand::Status | MemberCommand::Pause(_) => {
                        harness.report_status(link, false, received);
                    }
                    _ => harness.succeed(link, TransactionState::Idle, received),
                }
            }
        }
    }
}

pub(crate) fn kill_primary(harness: &mut PoolHarness) {
    let caller = harness.open_session("primary-db");
    harness.query(caller, "WRITE x 1");
    advance_with_dead_primary(harness, 5);
}

pub(crate) fn answer_contact_requests(harness: &mut PoolHarness, heard_ms: Option<u64>) -> bool {
    let requests = harness
        .other_actions
        .iter()
        .filter_map(|action| match action {
            PoolAction::SendPeer {
                to,
                message: PoolMessage::AskContact { member, .. },
                ..
            } => Some((to.clone(), member.clone())),
            _ => None,
        });
    let asked: Vec<(VmId, MemberId)> = requests.collect();
    harness
        .other_actions
        .retain(|action| !matches!(action, PoolAction::SendPeer { .. }));
    for (from, member) in &asked {
        let message = PoolMessage::Contact {
            group: GroupId::from(GROUP),
            member: member.clone(),
            heard_ms,
        };
        harness.event(PoolEvent::PeerSent {
            from: from.clone(),
            incarnation: Incarnation(7),
            message,
        });
    }
    !asked.is_empty()
}

pub(crate) fn claims(harness: &PoolHarness) -> usize {
    let is_claim = |action: &&PoolAction| matches!(action, PoolAction::WriteRecord { name, .. } if name.starts_with("group."));
    harness.other_actions.iter().filter(is_claim).count()
}

pub(crate) fn promoted(harness: &PoolHarness) -> Option<(String, u64)> {
    harness
        .other_actions
        .iter()
        .rev()
        .find_map(|action| match action {
            PoolAction::Promote { member, token, .. } => Some((member.to_string(), *token)),
            _ => None,
        })
}

/// Runs until the VM has claimed the group; returns whether it did so within `millis`.
pub(crate) fn run_to_claim(harness: &mut PoolHarness, millis: u64, heard_ms: Option<u64>) -> bool {
    for _ in 0..millis / 5 {
        advance_with_dead_primary(harness, 5);
        answer_contact_requests(harness, heard_ms);
        if claims(harness) > 0 {
            return true;
        }
    }
    false
}

pub(crate) fn grant_claim(harness: &mut PoolHarness, claim: impl Into<StoreRevision>) {
    harness.event(PoolEvent::RecordWritten {
        name: format!("group.{GROUP}"),
        outcome: WriteOutcome::Written(claim.into()),
    });
}

/// Grants each write to the record of the group with the next revision of the store.
pub(crate) fn grant_writes(harness: &mut PoolHarness) {
    for _ in 0..claims(harness) {
        harness.revision += 1;
        let written = harness.store_revision();
        grant_claim(harness, written);
    }
    let is_other = |action: &PoolAction| !matches!(action, PoolAction::WriteRecord { name, .. } if name.starts_with("group."));
    harness.other_actions.retain(is_other);
}

/// Returns the claim that the VM has written last.
pub(crate) fn latest_claim(harness: &PoolHarness) -> Option<FleetRecord> {
    let mut actions = harness.other_actions.iter().rev();
    actions.find_map(|action| match action {
        PoolAction::WriteRecord { name, record, .. } if name.starts_with("group.") => {
            Some(record.clone())
        }
        _ => None,
    })
}
