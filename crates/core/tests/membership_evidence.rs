//! Which messages of other VMs count as evidence for a lease.

mod support;

use std::sync::Arc;

use lycheedoor_core::membership::Fence;
use lycheedoor_core::membership::FenceAnswer;
use lycheedoor_core::membership::Membership;
use lycheedoor_core::membership::MembershipAction;
use lycheedoor_core::membership::MembershipEvent;
use lycheedoor_core::membership::MembershipMessage;
use lycheedoor_core::membership::RosterMemberKey;
use lycheedoor_core::types::MonoTime;
use support::Simulation;

const REQUEST_SENT_AT: MonoTime = MonoTime::from_millis(10_000);

/// A member of a roster of five whose lease has long expired, and the number of its last request
/// for evidence.
struct Fixture {
    vm: Membership,
    peers: Vec<RosterMemberKey>,
    fence: Arc<Fence>,
    request: u64,
}

fn fixture() -> Fixture {
    let mut simulation = Simulation::new(1, 5, 0);
    simulation.create_roster();
    let fence = Arc::clone(&simulation.platform.fence);
    let mut vm = Membership::new(simulation.vms[0].me.clone(), simulation.settings.clone(), 1);
    let mut actions = Vec::new();
    let start = MonoTime::from_millis(1_000);
    vm.handle(start, MembershipEvent::DeadlineReached, &mut actions);
    let answer = FenceAnswer::Object(Arc::clone(&fence));
    vm.handle(
        start,
        MembershipEvent::PlatformAnswered { call: 1, answer },
        &mut actions,
    );
    assert!(vm.may_act(start));
    actions.clear();
    vm.handle(
        REQUEST_SENT_AT,
        MembershipEvent::DeadlineReached,
        &mut actions,
    );
    let request = actions.iter().find_map(|action| match action {
        MembershipAction::Send {
            message: MembershipMessage::Ask { question, .. },
            ..
        } => Some(*question),
        _ => None,
    });
    let peers = fence
        .roster
        .members
        .iter()
        .skip(1)
        .map(|member| member.key())
        .collect();
    Fixture {
        vm,
        peers,
        fence,
        request: request.unwrap_or_default(),
    }
}

impl Fixture {
    fn answer(
        &mut self,
        at_ms: u64,
        from: usize,
        version: u64,
        age_us: Option<u64>,
        vouches: bool,
    ) {
        let event = MembershipEvent::PeerReceived {
            from: self.peers[from].clone(),
            address: self.fence.roster.members[from + 1].address,
            message: MembershipMessage::Answer {
                question: self.request,
                version,
                confirmed_age_us: age_us,
                vouches,
                fence: None,
            },
        };
        self.vm
            .handle(MonoTime::from_millis(at_ms), event, &mut Vec::new());
    }
}

/// Guards against a lease that starts when an answer arrives, or that ignores the age of relayed
/// evidence.
#[test]
fn age_of_relayed_evidence_is_subtracted_from_the_time_of_the_request() {
    let mut fixture = fixture();
    let version = fixture.fence.version;
    fixture.answer(10_040, 0, version, Some(120_000), false);
    assert_eq!(
        fixture.vm.lease_until(),
        Some(MonoTime::from_millis(10_000 - 120 + 300))
    );
    assert!(fixture.vm.may_act(MonoTime::from_millis(10_179)));
    // A VM that resumes after a pause checks the lease with the clock reading of that moment.
    assert!(!fixture.vm.may_act(MonoTime::from_millis(10_180)));
}

/// Guards against counting evidence that is older than the origin of the clock as if it were from
/// the origin.
#[test]
fn evidence_from_before_the_origin_of_the_clock_is_ignored() {
    let mut fixture = fixture();
    let (version, before) = (fixture.fence.version, fixture.vm.lease_until());
    fixture.answer(10_002, 0, version, Some(u64::MAX), false);
    fixture.answer(10_003, 0, version, Some(10_000_001), false);
    assert_eq!(fixture.vm.lease_until(), before);
}

/// Guards against a majority that includes duplicate answers, answers with another version or
/// answers of another incarnation, which is not a member.
#[test]
fn only_distinct_members_with_the_same_version_make_a_majority() {
    let mut fixture = fixture();
    let version = fixture.fence.version;
    for _ in 0..3 {
        fixture.answer(10_002, 0, version, None, true);
    }
    fixture.answer(10_003, 1, version - 1, None, true);
    fixture.answer(10_003, 2, version + 1, None, true);
    fixture.peers[3].incarnation.0 += 1;
    fixture.answer(10_004, 3, version, None, true);
    assert!(!fixture.vm.may_act(MonoTime::from_millis(10_005)));
    fixture.answer(10_200, 1, version, None, true);
    assert_eq!(
        fixture.vm.lease_until(),
        Some(MonoTime::from_millis(10_300))
    );
}

/// Guards against accepting a majority of the new members alone while a change of the members is
/// open: the removed members and one more could still confirm each other's leases.
#[test]
fn joint_roster_needs_a_majority_of_the_previous_members_too() {
    let mut roster = fixture().fence.roster.clone();
    let before = roster.members.clone();
    roster.members.truncate(3);
    roster.previous = Some(before);
    let agree = |names: &[&str]| roster.has_majority(|member| names.contains(&member.vm.as_str()));
    assert!(!agree(&["vm-0", "vm-1"]));
    assert!(!agree(&["vm-2", "vm-3", "vm-4"]));
    assert!(agree(&["vm-0", "vm-1", "vm-4"]));
}
