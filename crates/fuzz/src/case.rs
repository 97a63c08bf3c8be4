//! Operations, and the strategy that generates lists of them.

use proptest::prelude::*;

use crate::topology::DATA_CENTRE_COUNT;
use crate::topology::GROUP_COUNT;
use crate::topology::MEMBER_COUNT;
use crate::topology::NODE_COUNT;
use crate::topology::VM_COUNT;
use crate::topology::WORKSPACE_COUNT;
use crate::topology::members_of;

/// The input of one run: a seed for all random choices of the simulation, and the operations.
#[derive(Clone, Debug)]
pub struct Case {
    /// The seed of message delays, statements and random choices of the simulation and of the VMs.
    pub seed: u64,
    /// The operations, in order.
    pub steps: Vec<Step>,
}

/// An operation, and the delay before the next one.
#[derive(Clone, Debug)]
pub struct Step {
    /// The operation, which is applied at the start of the step.
    pub operation: Operation,
    /// The virtual time that passes before the next step, in milliseconds.
    pub then_ms: u64,
}

/// The direction in which the links of isolated nodes are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Links to the isolated nodes are cut.
    Inbound,
    /// Links from the isolated nodes are cut.
    Outbound,
    /// Links in both directions are cut.
    Both,
}

/// A change to the configuration that an operator publishes and later reverts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Withdraws the keys of a workspace, and grants a new one later.
    Withdraw {
        /// The index of the workspace.
        workspace: usize,
        /// The time until the new key is granted, in milliseconds.
        for_ms: u64,
    },
    /// Takes a data centre out of service, and puts it back later.
    DataCentreOut {
        /// The index of the data centre.
        data_centre: usize,
        /// The time until the change is reverted, in milliseconds.
        for_ms: u64,
    },
    /// Sets a member to leaving, and back to active later.
    MemberLeaves {
        /// The index of the member across all groups.
        member: usize,
        /// The time until the change is reverted, in milliseconds.
        for_ms: u64,
    },
}

/// A fault, a configuration change or a caller action. Faults end by themselves after `for_ms`.
/// Nodes are the VMs, the members and the platform, in this order.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub enum Operation {
    Wait,
    Cut {
        from: usize,
        to: usize,
        both: bool,
        for_ms: u64,
    },
    Isolate {
        node: usize,
        direction: Direction,
        for_ms: u64,
    },
    /// Cuts the links between the nodes whose bits are set in `side` and all others.
    Split {
        side: u32,
        direction: Direction,
        for_ms: u64,
    },
    /// Isolates a VM together with the current primary of a group, so that callers of the VM still
    /// reach the primary while it is being replaced.
    Pocket {
        vm: usize,
        group: usize,
        direction: Direction,
        for_ms: u64,
    },
    Loss {
        per_mille: u32,
        for_ms: u64,
    },
    Lag {
        member: usize,
        receives: bool,
        for_ms: u64,
    },
    PauseMember {
        member: usize,
        for_ms: u64,
    },
    /// Pauses the current primary of a group.
    PausePrimary {
        group: usize,
        for_ms: u64,
    },
    RestartMember {
        member: usize,
        for_ms: u64,
    },
    KillVm {
        vm: usize,
        for_ms: u64,
    },
    PauseVm {
        vm: usize,
        for_ms: u64,
    },
    StopVm {
        vm: usize,
        for_ms: u64,
    },
    PlatformDown {
        for_ms: u64,
    },
    PlatformSlow {
        latency_ms: u64,
        for_ms: u64,
    },
    PlatformLosesAnswers {
        count: u32,
    },
    StaleList {
        for_ms: u64,
    },
    Publish {
        operator: usize,
        change: Change,
        think_ms: u64,
    },
    Cancel {
        caller: usize,
    },
    Disconnect {
        caller: usize,
    },
    Roam {
        caller: usize,
    },
    Flood {
        workspace: usize,
        for_ms: u64,
    },
}

fn duration() -> impl Strategy<Value = u64> {
    prop_oneof![
        3 => 20..400u64,
        3 => 400..2_000u64,
        1 => 2_000..8_000u64,
    ]
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (0..WORKSPACE_COUNT, duration())
            .prop_map(|(workspace, for_ms)| Change::Withdraw { workspace, for_ms }),
        (0..DATA_CENTRE_COUNT, duration()).prop_map(|(data_centre, for_ms)| {
            Change::DataCentreOut {
                data_centre,
                for_ms,
            }
        }),
        (0..MEMBER_COUNT, duration())
            .prop_map(|(member, for_ms)| Change::MemberLeaves { member, for_ms }),
    ]
}

fn direction() -> impl Strategy<Value = Direction> {
    prop_oneof![
        2 => Just(Direction::Both),
        1 => Just(Direction::Inbound),
        1 => Just(Direction::Outbound)
    ]
}

fn link_fault() -> impl Strategy<Value = Operation> {
    prop_oneof![
        1 => (0..1u32 << NODE_COUNT, direction(), duration()).prop_map(|(side, direction, for_ms)| {
            Operation::Split { side, direction, for_ms }
        }),
        2 => pocket(),
        3 => (0..NODE_COUNT, 0..NODE_COUNT, any::<bool>(), duration())
            .prop_map(|(from, to, both, for_ms)| {
                Operation::Cut { from, to, both, for_ms }
            }),
        3 => (0..NODE_COUNT, direction(), duration()).prop_map(|(node, direction, for_ms)| {
            Operation::Isolate { node, direction, for_ms }
        }),
        1 => (10..150u32, duration()).prop_map(|(per_mille, for_ms)| {
            Operation::Loss { per_mille, for_ms }
        }),
    ]
}

fn pocket() -> impl Strategy<Value = Operation> {
    let parts = (0..VM_COUNT, 0..GROUP_COUNT, direction(), 800..3_000u64);
    parts.prop_map(|(vm, group, direction, for_ms)| Operation::Pocket {
        vm,
        group,
        direction,
        for_ms,
    })
}

fn member_fault() -> impl Strategy<Value = Operation> {
    prop_oneof![
        2 => (0..MEMBER_COUNT, any::<bool>(), duration()).prop_map(|(member, receives, for_ms)| {
            Operation::Lag { member, receives, for_ms }
        }),
        1 => (0..MEMBER_COUNT, duration())
            .prop_map(|(member, for_ms)| Operation::PauseMember { member, for_ms }),
        1 => (0..GROUP_COUNT, duration())
            .prop_map(|(group, for_ms)| Operation::PausePrimary { group, for_ms }),
        1 => (0..MEMBER_COUNT, duration())
            .prop_map(|(member, for_ms)| Operation::RestartMember { member, for_ms }),
    ]
}

fn vm_fault() -> impl Strategy<Value = Operation> {
    prop_oneof![
        2 => (0..VM_COUNT, duration()).prop_map(|(vm, for_ms)| Operation::PauseVm { vm, for_ms }),
        2 => (0..VM_COUNT, duration()).prop_map(|(vm, for_ms)| Operation::KillVm { vm, for_ms }),
        2 => (0..VM_COUNT, duration()).prop_map(|(vm, for_ms)| Operation::StopVm { vm, for_ms }),
    ]
}

fn platform_fault() -> impl Strategy<Value = Operation> {
    prop_oneof![
        2 => duration().prop_map(|for_ms| Operation::PlatformDown { for_ms }),
        1 => (20..600u64, duration()).prop_map(|(latency_ms, for_ms)| {
            Operation::PlatformSlow { latency_ms, for_ms }
        }),
        2 => (1..4u32).prop_map(|count| Operation::PlatformLosesAnswers { count }),
        1 => duration().prop_map(|for_ms| Operation::StaleList { for_ms }),
    ]
}

fn caller_operation() -> impl Strategy<Value = Operation> {
    let caller = 0..crate::callers::ORDINARY_CALLER_COUNT;
    prop_oneof![
        2 => caller.clone().prop_map(|caller| Operation::Cancel { caller }),
        1 => caller.clone().prop_map(|caller| Operation::Disconnect { caller }),
        1 => caller.prop_map(|caller| Operation::Roam { caller }),
        2 => (0..WORKSPACE_COUNT, 100..1_500u64).prop_map(|(workspace, for_ms)| {
            Operation::Flood { workspace, for_ms }
        }),
    ]
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        1 => Just(Operation::Wait),
        4 => link_fault(),
        3 => member_fault(),
        3 => vm_fault(),
        2 => platform_fault(),
        3 => (0..2usize, change(), 0..40u64).prop_map(|(operator, change, think_ms)| {
            Operation::Publish { operator, change, think_ms }
        }),
        3 => caller_operation(),
    ]
}

/// A VM that is paused or isolated while a change is published, and returns when the change must be
/// in force.
fn vm_unavailable_during_change() -> impl Strategy<Value = Vec<Step>> {
    let outage = prop_oneof![
        (0..VM_COUNT, 4_500..8_000u64).prop_map(|(vm, for_ms)| Operation::PauseVm { vm, for_ms }),
        (0..VM_COUNT, direction(), 4_500..8_000u64).prop_map(|(node, direction, for_ms)| {
            Operation::Isolate {
                node,
                direction,
                for_ms,
            }
        }),
    ];
    let lasting_change = prop_oneof![
        (0..WORKSPACE_COUNT).prop_map(|workspace| Change::Withdraw {
            workspace,
            for_ms: 9_000
        }),
        (0..DATA_CENTRE_COUNT).prop_map(|data_centre| Change::DataCentreOut {
            data_centre,
            for_ms: 9_000
        }),
        (0..MEMBER_COUNT).prop_map(|member| Change::MemberLeaves {
            member,
            for_ms: 9_000
        }),
    ];
    (outage, lasting_change, 0..1_000u64).prop_map(|(outage, change, then_ms)| {
        let publish = Operation::Publish {
            operator: 0,
            change,
            think_ms: 1,
        };
        let first = Step {
            operation: outage,
            then_ms: 10,
        };
        let second = Step {
            operation: publish,
            then_ms: 5_000 + then_ms,
        };
        vec![first, second]
    })
}

/// A paused VM and an `Operation::Pocket`, so that a primary is replaced while a VM holds an answer
/// from it.
fn vm_paused_during_promotion() -> impl Strategy<Value = Vec<Step>> {
    (0..VM_COUNT, 600..3_000u64, pocket(), 0..30u64).prop_map(|(vm, for_ms, pocket, then_ms)| {
        let pause = Operation::PauseVm { vm, for_ms };
        let first = Step {
            operation: pause,
            then_ms,
        };
        let second = Step {
            operation: pocket,
            then_ms: 200,
        };
        vec![first, second]
    })
}

/// A VM that still reaches a primary that is being replaced and that answers late. The replicas
/// lag, so that session reads go to the primary.
fn late_answers_of_a_replaced_primary() -> impl Strategy<Value = Vec<Step>> {
    let parts = (0..VM_COUNT, 0..GROUP_COUNT, 900..1_800u64, 0..250u64);
    parts.prop_map(|(vm, group, pause_ms, then_ms)| {
        let lag = |member| Operation::Lag {
            member,
            receives: true,
            for_ms: 3_000,
        };
        let pocket = Operation::Pocket {
            vm,
            group,
            direction: Direction::Both,
            for_ms: 2_500,
        };
        let pause = Operation::PausePrimary {
            group,
            for_ms: pause_ms,
        };
        let lags = members_of(group).map(|member| (lag(member), 10));
        let steps = lags.chain([(pocket, then_ms), (pause, 500)]);
        steps
            .map(|(operation, then_ms)| Step { operation, then_ms })
            .collect()
    })
}

/// Generates cases of up to about `steps` operations. Many delays between operations are short, so
/// that faults overlap.
pub fn case_strategy(steps: usize) -> impl Strategy<Value = Case> {
    let then_ms = prop_oneof![2 => 0..20u64, 3 => 20..400u64, 1 => 400..2_500u64];
    let single =
        (operation(), then_ms).prop_map(|(operation, then_ms)| vec![Step { operation, then_ms }]);
    let part = prop_oneof![
        24 => single,
        1 => vm_unavailable_during_change(),
        2 => vm_paused_during_promotion(),
        1 => late_answers_of_a_replaced_primary(),
    ];
    let parts = prop::collection::vec(part, 1..=steps.max(1));
    (any::<u64>(), parts).prop_map(|(seed, parts)| Case {
        seed,
        steps: parts.into_iter().flatten().collect(),
    })
}
