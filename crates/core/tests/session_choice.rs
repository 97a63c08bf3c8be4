//! Single rules of the selection of members for reads.

use std::time::Duration;

use lycheedoor_core::session::MemberPlacement;
use lycheedoor_core::session::ReadChoice;
use lycheedoor_core::session::ReadQuery;
use lycheedoor_core::session::ReplicaSelector;
use lycheedoor_core::session::SelectorEvent;
use lycheedoor_core::session::SessionMark;
use lycheedoor_core::session::Trust;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::Term;

struct Fixture {
    selector: ReplicaSelector,
    group: GroupId,
}

fn ms(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self {
            selector: ReplicaSelector::new(),
            group: GroupId::from("g"),
        };
        for member in ["a", "b", "c"] {
            fixture.configure_member(member, MemberPlacement::default());
        }
        fixture.change_term(1, Some("a"));
        fixture
    }

    fn configure_member(&mut self, member: &str, place: MemberPlacement) {
        let (group, member) = (self.group.clone(), MemberId::from(member));
        self.selector.handle(
            ms(0),
            &SelectorEvent::MemberConfigured {
                group,
                member,
                place,
            },
        );
    }

    fn change_term(&mut self, term: u64, primary: Option<&str>) {
        let (group, primary) = (self.group.clone(), primary.map(MemberId::from));
        let event = SelectorEvent::TermChanged {
            group,
            term: Term(term),
            primary,
        };
        self.selector.handle(ms(0), &event);
    }

    /// Reports an applied position in an answer that was requested and arrived at `at`.
    fn report_applied(&mut self, at: u64, member: &str, term: Option<u64>, position: (u64, u64)) {
        let event = SelectorEvent::Observed {
            group: self.group.clone(),
            member: MemberId::from(member),
            term: term.map(Term),
            applied: Some(Position::new(Term(position.0), position.1)),
            received: None,
            sent_at: ms(at),
        };
        self.selector.handle(ms(at), &event);
    }

    /// Reports the log position of the primary as a VM with a valid lease does.
    fn report_primary_position(&mut self, at: u64, term: u64, position: (u64, u64)) {
        let event = SelectorEvent::PrimaryPosition {
            group: self.group.clone(),
            term: Term(term),
            position: Position::new(Term(position.0), position.1),
            sent_at: ms(at),
        };
        self.selector.handle(ms(at), &event);
    }

    fn choose(
        &self,
        at: u64,
        trust: Trust,
        position: Option<(u64, u64)>,
        max_staleness: u64,
    ) -> ReadChoice {
        let query = ReadQuery {
            group: &self.group,
            mark: SessionMark {
                position: position.map(|p| Position::new(Term(p.0), p.1)),
                trust,
            },
            max_staleness: Duration::from_millis(max_staleness),
            primary_queue: Duration::from_millis(3),
            waited: Duration::ZERO,
        };
        self.selector.choose(ms(at), &query)
    }
}

fn replica(name: &str) -> ReadChoice {
    ReadChoice::Replica(MemberId::from(name))
}

fn primary(reason: Reason) -> ReadChoice {
    ReadChoice::Primary {
        member: Some(MemberId::from("a")),
        reason,
    }
}

/// Guards against a wait that ends at the time at which it begins: the statement's timer was due
/// again immediately, in an endless loop (found by the fuzzer with seed 13 and 40 steps).
#[test]
fn wait_below_the_clock_resolution_is_not_chosen() {
    let mut fixture = Fixture::new();
    fixture.report_applied(0, "b", Some(1), (1, 5));
    fixture.report_applied(10, "b", Some(1), (1, 50));
    for nanos in 0..2_000 {
        let query = ReadQuery {
            group: &fixture.group,
            mark: SessionMark {
                position: Some(Position::new(Term(1), 51)),
                trust: Trust::Proven,
            },
            max_staleness: Duration::ZERO,
            primary_queue: Duration::from_nanos(nanos),
            waited: Duration::ZERO,
        };
        if let ReadChoice::Wait { until, .. } = fixture.selector.choose(ms(1_000), &query) {
            assert!(until > ms(1_000), "wait of {nanos} ns ends immediately");
        }
    }
}

/// Guards against reads on replicas that a term change may have rolled back.
#[test]
fn term_change_invalidates_members_not_seen_in_the_term() {
    let mut fixture = Fixture::new();
    fixture.report_applied(10, "b", None, (1, 100));
    fixture.report_applied(10, "c", Some(2), (1, 90));
    assert_eq!(
        fixture.choose(10, Trust::Proven, Some((1, 80)), 0),
        replica("b")
    );
    fixture.change_term(2, Some("a"));
    assert_eq!(
        fixture.choose(10, Trust::Proven, Some((1, 80)), 0),
        replica("c")
    );
    assert_eq!(
        fixture.choose(10, Trust::Proven, Some((1, 95)), 0),
        primary(Reason::ReplicaBehind)
    );
    fixture.report_applied(11, "b", None, (1, 101));
    assert_eq!(
        fixture.choose(11, Trust::Proven, Some((1, 95)), 0),
        primary(Reason::ReplicaBehind),
        "a late answer from the old term proves nothing"
    );
    fixture.report_applied(12, "b", Some(2), (1, 96));
    assert_eq!(
        fixture.choose(12, Trust::Proven, Some((1, 95)), 0),
        replica("b")
    );
}

/// Guards against serving a caller from a replica although nothing proves what it has seen.
#[test]
fn session_without_evidence_goes_to_the_primary_unless_the_route_accepts_an_age() {
    let mut fixture = Fixture::new();
    fixture.report_primary_position(10, 1, (1, 100));
    fixture.report_applied(20, "b", None, (1, 100));
    let no_evidence = primary(Reason::NoSessionEvidence);
    assert_eq!(fixture.choose(20, Trust::Unproven, None, 0), no_evidence);
    assert_eq!(
        fixture.choose(20, Trust::PrimaryOnly, Some((1, 5)), 1000),
        no_evidence
    );
    assert_eq!(fixture.choose(20, Trust::Unproven, None, 10), replica("b"));
    assert_eq!(
        fixture.choose(21, Trust::Unproven, None, 10),
        primary(Reason::ReplicaBehind)
    );
    let newer = fixture.choose(20, Trust::Unproven, Some((1, 101)), 1000);
    assert_eq!(
        newer,
        primary(Reason::ReplicaBehind),
        "an accepted age never overrides a position"
    );
}

/// Guards against an age that is measured from the replica's report instead of the primary's.
#[test]
fn age_counts_from_the_last_time_the_primary_was_covered() {
    let mut fixture = Fixture::new();
    for at in 0..40 {
        fixture.report_primary_position(at * 100, 1, (1, at));
    }
    fixture.report_applied(4000, "b", None, (1, 20));
    fixture.report_primary_position(4000, 2, (1, 0));
    assert_eq!(
        fixture.choose(4000, Trust::Unproven, None, 1999),
        primary(Reason::ReplicaBehind)
    );
    assert_eq!(
        fixture.choose(4000, Trust::Unproven, None, 2000),
        replica("b")
    );
}

/// Guards against new statements for members that are leaving or in a data centre that is out of
/// service.
#[test]
fn members_that_take_no_new_work_are_not_chosen() {
    let mut fixture = Fixture::new();
    fixture.report_applied(1, "b", None, (1, 9));
    let distant = MemberPlacement {
        distance_us: 1500,
        ..MemberPlacement::default()
    };
    fixture.configure_member("c", distant);
    fixture.report_applied(1, "c", None, (1, 9));
    assert_eq!(fixture.choose(1, Trust::Proven, None, 0), replica("b"));
    fixture.configure_member(
        "b",
        MemberPlacement {
            data_centre_out: true,
            ..MemberPlacement::default()
        },
    );
    assert_eq!(fixture.choose(1, Trust::Proven, None, 0), replica("c"));
    fixture.configure_member(
        "c",
        MemberPlacement {
            leaving: true,
            ..distant
        },
    );
    assert_eq!(
        fixture.choose(1, Trust::Proven, None, 0),
        primary(Reason::ReplicaBehind)
    );
    fixture.configure_member(
        "b",
        MemberPlacement {
            leaving: true,
            ..MemberPlacement::default()
        },
    );
    assert_eq!(
        fixture.choose(1, Trust::Proven, None, 0),
        primary(Reason::TargetLeaving)
    );
    fixture.configure_member(
        "a",
        MemberPlacement {
            data_centre_out: true,
            ..MemberPlacement::default()
        },
    );
    let no_member = ReadChoice::Primary {
        member: None,
        reason: Reason::TargetLeaving,
    };
    assert_eq!(fixture.choose(1, Trust::Proven, None, 0), no_member);
}

/// Guards against waits that are longer than the primary's queueing time, or that end before the
/// replica is expected to catch up.
#[test]
fn wait_is_bounded_by_the_queueing_time_of_the_primary() {
    let mut fixture = Fixture::new();
    fixture.report_applied(0, "b", None, (1, 0));
    fixture.report_applied(10, "b", None, (1, 100));
    let wait = ReadChoice::Wait {
        member: MemberId::from("b"),
        until: ms(13),
    };
    assert_eq!(fixture.choose(10, Trust::Proven, Some((1, 120)), 0), wait);
    assert_eq!(
        fixture.choose(10, Trust::Proven, Some((1, 131)), 0),
        primary(Reason::ReplicaBehind)
    );
}

/// Guards against sending writes and reads to a member that the platform has named as primary but
/// that is still a replica and may lag behind the session.
#[test]
fn named_primary_is_not_used_before_it_reports_its_promotion() {
    let mut fixture = Fixture::new();
    let group = fixture.group.clone();
    let report = |complete| SelectorEvent::PromotionReported {
        group: group.clone(),
        term: Term(2),
        complete,
    };
    fixture.selector.handle(ms(0), &report(false));
    assert_eq!(
        fixture.selector.usable_primary(&group),
        Ok(&MemberId::from("a"))
    );
    fixture.change_term(2, Some("b"));
    assert_eq!(
        fixture.selector.usable_primary(&group),
        Err(Reason::NoPrimary)
    );
    let choice = fixture.choose(1, Trust::PrimaryOnly, Some((1, 9)), 0);
    assert!(
        matches!(choice, ReadChoice::Primary { member: None, .. }),
        "{choice:?}"
    );
    fixture.selector.handle(ms(1), &report(true));
    assert_eq!(
        fixture.selector.usable_primary(&group),
        Ok(&MemberId::from("b"))
    );
}
