//! Replacement of a primary: who starts it, on what evidence, and whom the VM believes meanwhile.

mod support;

use std::time::Duration;

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::VmId;
use lycheedoor_pool::GroupRule;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::MemberFault;
use lycheedoor_pool::ObjectAnswer;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::PoolMessage;
use lycheedoor_pool::PromotionOutcome;
use lycheedoor_pool::Report;
use lycheedoor_pool::TransactionState;
use lycheedoor_pool::WriteOutcome;
use support::GROUP;
use support::PRIMARY;
use support::Rig;
use support::member;

const PEERS: [&str; 2] = ["vm-2", "vm-3"];

/// Lets time pass while connections to the primary are refused and the replicas answer.
fn advance_with_dead_primary(rig: &mut Rig, millis: u64) {
    advance_with_dead(rig, millis, &[PRIMARY]);
}

/// Lets time pass while connections to some members are refused and the other replicas answer.
fn advance_with_dead(rig: &mut Rig, millis: u64, members: &[&str]) {
    for _ in 0..millis / 5 {
        rig.advance(5);
        let dead = rig.links.iter();
        let dead = dead.filter(|(_, link)| members.contains(&link.member.as_str()));
        let dead: Vec<ConnectionId> = dead.map(|(id, _)| *id).collect();
        for link in dead {
            rig.links.remove(&link);
            rig.event(PoolEvent::LinkClosed { link });
        }
        rig.accept_links();
        for (replica, received) in [("m2", 8), ("m3", 9)] {
            while let Some((link, command)) = rig.take_command(replica) {
                match command {
                    MemberCommand::Status | MemberCommand::Pause(_) => {
                        rig.report_status(link, false, received);
                    }
                    _ => rig.succeed(link, TransactionState::Idle, received),
                }
            }
        }
    }
}

fn kill_primary(rig: &mut Rig) {
    let caller = rig.session("primary-db");
    rig.query(caller, "WRITE x 1");
    advance_with_dead_primary(rig, 5);
}

fn answer_asks(rig: &mut Rig, heard_ms: Option<u64>) -> bool {
    let asks = rig.others.iter().filter_map(|action| match action {
        PoolAction::SendPeer {
            to,
            message: PoolMessage::AskContact { .. },
            ..
        } => Some(to.clone()),
        _ => None,
    });
    let asked: Vec<VmId> = asks.collect();
    rig.others
        .retain(|action| !matches!(action, PoolAction::SendPeer { .. }));
    for from in &asked {
        let message = PoolMessage::Contact {
            group: GroupId::from(GROUP),
            member: MemberId::from(PRIMARY),
            heard_ms,
        };
        rig.event(PoolEvent::PeerSent {
            from: from.clone(),
            incarnation: Incarnation(7),
            message,
        });
    }
    !asked.is_empty()
}

fn claims(rig: &Rig) -> usize {
    let is_claim = |action: &&PoolAction| matches!(action, PoolAction::WriteRecord { name, .. } if name.starts_with("group."));
    rig.others.iter().filter(is_claim).count()
}

fn promoted(rig: &Rig) -> Option<(String, u64)> {
    rig.others.iter().rev().find_map(|action| match action {
        PoolAction::Promote { member, token, .. } => Some((member.to_string(), *token)),
        _ => None,
    })
}

/// Runs until the VM has claimed the group; returns whether it did within the time.
fn run_to_claim(rig: &mut Rig, millis: u64, heard_ms: Option<u64>) -> bool {
    for _ in 0..millis / 5 {
        advance_with_dead_primary(rig, 5);
        answer_asks(rig, heard_ms);
        if claims(rig) > 0 {
            return true;
        }
    }
    false
}

fn grant_claim(rig: &mut Rig, token: u64) {
    rig.event(PoolEvent::RecordWritten {
        name: format!("group.{GROUP}"),
        outcome: WriteOutcome::Written(token),
    });
}

#[test]
fn dead_primary_is_replaced_by_the_replica_that_received_most() {
    let mut rig = Rig::with_peers(&PEERS);
    kill_primary(&mut rig);
    assert!(run_to_claim(&mut rig, 2_000, None));
    grant_claim(&mut rig, 900);
    advance_with_dead_primary(&mut rig, 400);
    assert_eq!(promoted(&rig), Some(("m3".to_owned(), 900)));
}

/// A rig of a group in which one replica has to confirm each commit.
fn confirming_rig() -> Rig {
    let mut rules = support::catalogue(1);
    let rule = GroupRule {
        sync_replicas: 1,
        ..support::group_rule()
    };
    rules.groups.insert(GROUP.into(), rule);
    Rig::start(&PEERS, rules)
}

/// Guards against a replica that lacks confirmed commits and is promoted since it alone answers:
/// the other one, which may have confirmed them, is down as well.
#[test]
fn replica_that_may_lack_confirmed_commits_is_not_promoted() {
    let mut rig = confirming_rig();
    kill_primary(&mut rig);
    let dead = [PRIMARY, "m3"];
    // A read finds out that the other replica is down.
    rig.sample(1);
    let caller = rig.session("bounded-db");
    rig.query(caller, "READ x");
    assert!(run_to_claim(&mut rig, 2_000, None));
    grant_claim(&mut rig, 900);
    advance_with_dead(&mut rig, 1_000, &dead);
    rig.change(ObjectKind::Members, "m3", None);
    advance_with_dead(&mut rig, 4_000, &dead);
    assert_eq!(promoted(&rig), None);

    rig.change(
        ObjectKind::Members,
        "m3",
        Some(ObjectValue::Member(member("m3", false))),
    );
    for _ in 0..400 {
        advance_with_dead_primary(&mut rig, 5);
        answer_asks(&mut rig, None);
        if claims(&rig) > 0 {
            rig.others
                .retain(|action| !matches!(action, PoolAction::WriteRecord { .. }));
            grant_claim(&mut rig, 901);
        }
    }
    assert_eq!(promoted(&rig), Some(("m3".to_owned(), 901)));
}

/// Guards against a group with confirming replicas whose primary is not replaced although all
/// replicas answer.
#[test]
fn primary_with_confirming_replicas_is_replaced() {
    let mut rig = confirming_rig();
    kill_primary(&mut rig);
    assert!(run_to_claim(&mut rig, 2_000, None));
    grant_claim(&mut rig, 900);
    advance_with_dead_primary(&mut rig, 400);
    assert_eq!(promoted(&rig), Some(("m3".to_owned(), 900)));
}

/// Guards against a promotion by a VM that alone is cut off from a healthy primary.
#[test]
fn primary_that_another_vm_reaches_is_not_replaced() {
    let mut rig = Rig::with_peers(&PEERS);
    kill_primary(&mut rig);
    assert!(!run_to_claim(&mut rig, 4_000, Some(0)));
}

/// Guards against a promotion by a VM that reaches neither the primary nor the other VMs.
#[test]
fn vm_without_a_majority_does_not_claim() {
    let mut rig = Rig::with_peers(&PEERS);
    kill_primary(&mut rig);
    advance_with_dead_primary(&mut rig, 4_000);
    assert_eq!(claims(&rig), 0);
}

/// Guards against a claim that cannot be written, which keeps the VMs of lower rank waiting.
#[test]
fn vm_without_the_store_does_not_claim() {
    let mut rig = Rig::with_peers(&PEERS);
    rig.event(PoolEvent::ObjectsRead {
        kind: ObjectKind::Fleet,
        answer: ObjectAnswer::Unavailable,
    });
    kill_primary(&mut rig);
    assert!(!run_to_claim(&mut rig, 2_000, None));
}

/// Guards against falling back to the dead primary while the promoted member does not lead yet.
#[test]
fn promoted_member_is_believed_until_it_leads() {
    let mut rig = Rig::with_peers(&PEERS);
    kill_primary(&mut rig);
    assert!(run_to_claim(&mut rig, 2_000, None));
    grant_claim(&mut rig, 900);
    advance_with_dead_primary(&mut rig, 400);
    rig.event(PoolEvent::PromotionAnswered {
        group: GroupId::from(GROUP),
        token: 900,
        outcome: PromotionOutcome::Accepted,
    });
    let caller = rig.session("primary-db");
    rig.query(caller, "WRITE x 2");
    rig.accept_links();
    let mut refused = 0;
    for _ in 0..60 {
        rig.advance(5);
        rig.accept_links();
        assert_eq!(
            rig.take_command(PRIMARY),
            None,
            "statement for the dead primary"
        );
        while let Some((link, _)) = rig.take_command("m3") {
            refused += 1;
            rig.refuse(link, MemberFault::ReadOnly, TransactionState::Idle);
        }
    }
    assert!(refused > 0, "nothing was tried at the promoted member");
    let believes_the_dead = |action: &PoolAction| {
        matches!(action, PoolAction::Report(Report::PrimaryChanged { member, .. })
            if member.as_ref().is_none_or(|member| member.as_str() == PRIMARY))
    };
    assert!(!rig.others.iter().any(believes_the_dead));
}

/// Guards against a primary that leaves with its last commits: it steps down first, and a replica
/// that has received them leads.
#[test]
fn leaving_primary_hands_over() {
    let mut rig = Rig::new();
    rig.sample(20);
    let mut leaving = member(PRIMARY, true);
    leaving.is_draining = true;
    rig.change(
        ObjectKind::Members,
        PRIMARY,
        Some(ObjectValue::Member(leaving)),
    );
    rig.advance(300);
    assert_eq!(claims(&rig), 1);
    grant_claim(&mut rig, 900);
    let mut has_stepped_down = false;
    for step in 0..60 {
        rig.advance(5);
        rig.accept_links();
        // The replicas receive the last commit late.
        let received = if step < 20 { 19 } else { 20 };
        for name in [PRIMARY, "m2", "m3"] {
            while let Some((link, command)) = rig.take_command(name) {
                match command {
                    MemberCommand::StepDown(_) => {
                        has_stepped_down = true;
                        rig.report_status(link, false, 20);
                    }
                    MemberCommand::Status | MemberCommand::Pause(_) => {
                        rig.report_status(link, false, received);
                    }
                    _ => rig.succeed(link, TransactionState::Idle, received),
                }
            }
        }
        assert!(
            step >= 20 || promoted(&rig).is_none(),
            "promoted without the last commit"
        );
    }
    assert!(has_stepped_down);
    assert!(promoted(&rig).is_some());
}

/// Guards against a replacement by a VM that was suspended and finds all answers overdue.
#[test]
fn vm_that_was_suspended_suspects_nobody() {
    let mut rig = Rig::with_peers(&PEERS);
    let caller = rig.session("primary-db");
    rig.query(caller, "READ x");
    rig.accept_links();
    rig.now += Duration::from_secs(5);
    rig.event(PoolEvent::DeadlineReached);
    rig.others.clear();
    rig.advance(100);
    assert!(!answer_asks(&mut rig, None));
    assert_eq!(claims(&rig), 0);
}

/// Guards against writes to the store that lead nowhere, while no member could take over.
#[test]
fn primary_without_a_successor_is_not_claimed() {
    let mut rig = Rig::new();
    for name in ["m2", "m3"] {
        rig.change(ObjectKind::Members, name, None);
    }
    let mut leaving = member(PRIMARY, true);
    leaving.is_draining = true;
    rig.change(
        ObjectKind::Members,
        PRIMARY,
        Some(ObjectValue::Member(leaving)),
    );
    rig.advance(3_000);
    assert_eq!(claims(&rig), 0);
}
