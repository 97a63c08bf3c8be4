//! Failures that come in series and overlap while a primary is replaced: members, the platform, the VM and
//! commands that take effect late.

mod support;

use std::ops::Range;

use lycheedoor_pool::MemberCommand;
use proptest::prelude::*;
use support::PRIMARY;
use support::fake_group::FakeGroup;
use support::fake_group::Platform;

#[derive(Clone, Debug)]
enum Step {
    /// Takes a member down or brings it back.
    Toggle(&'static str),
    Platform(Platform),
    /// Carries out all requests that are late.
    CarryOut,
    /// Leaves commands of the present term on their way.
    Send(&'static str),
    Deliver,
    Confirm(&'static str),
    Restart,
    Suspend,
}

fn steps() -> impl Strategy<Value = Vec<(Step, u64)>> {
    const PAUSE_MS: Range<u64> = 5..1_500;
    let member = prop_oneof![3 => Just(PRIMARY), 1 => Just("m2"), 1 => Just("m3")];
    let platform = prop_oneof![
        Just(Platform::Available),
        Just(Platform::Unavailable),
        Just(Platform::Late)
    ];
    let step = prop_oneof![
        4 => member.clone().prop_map(Step::Toggle),
        3 => platform.prop_map(Step::Platform),
        2 => Just(Step::CarryOut),
        1 => member.clone().prop_map(Step::Send),
        1 => Just(Step::Deliver),
        2 => member.prop_map(Step::Confirm),
        2 => Just(Step::Restart),
        1 => Just(Step::Suspend),
    ];
    proptest::collection::vec((step, PAUSE_MS), 1..24)
}

fn run_series(steps: &[(Step, u64)]) {
    let mut fake = FakeGroup::start(1);
    let run = |fake: &mut FakeGroup, millis: u64| {
        fake.write();
        for _ in 0..millis / 5 {
            fake.commit();
            fake.run(5);
        }
    };
    run(&mut fake, 500);
    for (step, millis) in steps {
        match step {
            Step::Toggle(name) if fake.down.contains(name) => fake.down.retain(|down| down != name),
            // More than one member that is down could hold the only copies of a commit.
            Step::Toggle(name) if fake.down.is_empty() => fake.down.push(name),
            Step::Toggle(_) => {}
            Step::Platform(platform) => fake.platform = *platform,
            Step::CarryOut => {
                for (member, token) in std::mem::take(&mut fake.late) {
                    fake.carry_out(&member, token);
                }
            }
            Step::Send(name) => {
                let term = fake.harness.term.next();
                let commands = [MemberCommand::Pause(term), MemberCommand::StepDown(term)];
                let commands = commands.map(|command| (*name, command));
                fake.late_commands.extend(commands);
            }
            Step::Deliver => fake.deliver_late_commands(),
            Step::Confirm(name) => fake.confirming = name,
            Step::Restart => fake.restart(),
            Step::Suspend => fake.harness.suspend(3_000),
        }
        run(&mut fake, *millis);
    }
    fake.down.clear();
    fake.platform = Platform::Available;
    run(&mut fake, 15_000);
    let confirmed = fake.confirmed;
    run(&mut fake, 100);
    assert!(fake.confirmed > confirmed, "no commit is confirmed");
    assert_eq!(fake.harness.paused.len(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a confirmed commit that is lost, and against a service that stays without a primary
    /// or with a paused replica, after failures that come in series and overlap.
    #[test]
    fn series_of_failures_loses_no_commit_and_ends_with_service(steps in steps()) {
        run_series(&steps);
    }
}
