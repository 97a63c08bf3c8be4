//! Runs complete VMs in virtual time against a simulated platform and simulated members, and counts
//! their messages and calls. Links have a fixed delay and lose nothing unless
//! `Fleet::set_message_loss` is called, so the counts show the steady state and are the same in
//! every run. Only the first cell is counted, so that a fleet of several cells shows what the other
//! cells cost it.

mod platform;
mod run;

use std::collections::BTreeMap;

use lycheedoor_core::config::Config;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::vm::FENCE_OBJECT;
use lycheedoor_core::vm::PeerMessage;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_core::vm::Vm;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_core::vm::VmSettings;

use crate::sample;
use crate::sample::Size;
use platform::Platform;

/// The delay of a message between two processes, in microseconds.
pub const LINK_DELAY_US: u64 = 300;
/// The time that a member takes to run a statement, in microseconds.
pub const STATEMENT_DURATION_US: u64 = 500;

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// The number of cells. Each has its own fence object; all share the configuration.
    pub cells: usize,
    /// The number of VMs in each cell.
    pub vms_in_cell: usize,
    /// The size of the configuration, whose groups are distributed over the cells.
    pub size: Size,
}

/// Counters of peer messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of messages sent.
    pub messages: u64,
    /// The bytes of the messages and their confirmations, with HTTP headers.
    pub bytes: u64,
}

/// Counters of the messages and calls of the VMs of the first cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages between VMs, by kind.
    pub peer: BTreeMap<&'static str, Traffic>,
    /// Reads of platform objects, including watches when they are opened.
    pub platform_reads: u64,
    /// Conditional updates of platform objects.
    pub platform_writes: u64,
    /// The bytes of platform calls and their answers.
    pub platform_bytes: u64,
    /// Commands to members, such as probes of their status.
    pub member_commands: u64,
    /// Statements that were answered, in all cells.
    pub answered: u64,
    /// Statements that were refused, in all cells.
    pub refused: u64,
    /// Connections to members that were opened, in all cells.
    pub connections_opened: u64,
}

impl Counts {
    /// Returns the traffic of one kind of message.
    pub fn of(&self, kind: &str) -> Traffic {
        self.peer.get(kind).copied().unwrap_or_default()
    }

    /// Returns the total traffic of all kinds of messages.
    pub fn total(&self) -> Traffic {
        let add = |sum: Traffic, next: &Traffic| Traffic {
            messages: sum.messages + next.messages,
            bytes: sum.bytes + next.bytes,
        };
        self.peer.values().fold(Traffic::default(), add)
    }
}

#[derive(Clone, Debug)]
enum Event {
    Deliver(usize, VmEvent),
    Timer(usize),
    Platform(usize, u64, PlatformRequest),
    WatchEnds(usize, u64),
    Request(OfferedLoad),
}

/// A caller that sends statements at a fixed interval.
#[derive(Clone, Copy, Debug)]
struct OfferedLoad {
    vm: usize,
    caller: CallerId,
    every_us: u64,
}

struct Node {
    vm: Vm,
    cell: usize,
    up: bool,
    timer_at: Option<u64>,
    connections: BTreeMap<ConnectionId, (GroupId, MemberId)>,
}

/// A simulation of several VMs in virtual time.
pub struct Fleet {
    shape: Shape,
    now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    nodes: Vec<Node>,
    platform: Platform,
    next_caller: u64,
    next_request: u64,
    counts: Counts,
    /// The seed that selects which messages between VMs are lost, and the loss in thousandths.
    loss: (u64, u64),
}

impl Fleet {
    /// Creates a fleet whose rosters and terms are already stored on the platform.
    pub fn new(shape: Shape) -> Self {
        let mut platform = Platform::default();
        let slot_count = u16::try_from(shape.vms_in_cell.max(8)).unwrap_or(u16::MAX);
        for cell in 0..shape.cells {
            let vms = (0..shape.vms_in_cell).map(|index| cell * shape.vms_in_cell + index);
            let groups = (cell..shape.size.groups).step_by(shape.cells);
            let fence = sample::fence(vms, slot_count, groups);
            platform.set(cell, FENCE_OBJECT, &fence);
        }
        let mut fleet = Self {
            shape,
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            nodes: Vec::new(),
            platform,
            next_caller: 0,
            next_request: 0,
            counts: Counts::default(),
            loss: (0, 0),
        };
        fleet.publish(&sample::config(1, &shape.size));
        for index in 0..shape.cells * shape.vms_in_cell {
            fleet.nodes.push(Node {
                vm: Vm::new(settings(index)),
                cell: index / shape.vms_in_cell,
                up: true,
                timer_at: None,
                connections: BTreeMap::new(),
            });
            let spread = u64::try_from(index).unwrap_or(0) * 7_919 % 50_000;
            fleet.schedule(spread, Event::Deliver(index, VmEvent::DeadlineReached));
        }
        fleet
    }

    /// Stores a new configuration on the platform in every cell, and answers the watches of it.
    pub fn publish(&mut self, config: &Config) {
        for cell in 0..self.shape.cells {
            self.platform
                .set(cell, lycheedoor_core::config::CONFIG_OBJECT, config);
        }
        self.answer_watches();
    }

    /// Adds a caller of a workspace that sends statements to one VM at a fixed interval.
    pub fn offer_load(&mut self, vm: usize, workspace: usize, every_us: u64) {
        self.next_caller += 1;
        let caller = CallerId(self.next_caller);
        let started = VmEvent::CallerStarted {
            caller,
            workspace: sample::workspace_id(workspace),
            key: Some(sample::key(workspace)),
            route: sample::route_id(workspace % self.shape.size.routes.max(1)),
            session_token: None,
        };
        let now = self.now;
        self.schedule(now, Event::Deliver(vm, started));
        let offer = OfferedLoad {
            vm,
            caller,
            every_us,
        };
        // Multiples of the golden ratio distribute the callers evenly over the interval.
        let share = self.next_caller * 618_033_989 % 1_000_000_000;
        let phase = share * every_us / 1_000_000_000;
        self.schedule(now + phase, Event::Request(offer));
    }

    /// Sets the random loss of messages between VMs, in thousandths, from now on.
    pub fn set_message_loss(&mut self, seed: u64, per_mille: u64) {
        self.loss = (seed, per_mille);
    }

    /// Ends a VM immediately, without notice to its peers.
    pub fn kill(&mut self, vm: usize) {
        self.nodes[vm].up = false;
    }

    /// Returns how many VMs hold a lease and a configuration of at least this version.
    pub fn serving(&self, version: u64) -> usize {
        let now = MonoTime::from_micros(self.now);
        let serving = |node: &&Node| {
            let config = node.vm.config().map_or(0, |config| config.version);
            node.up && node.vm.membership().may_act(now) && config >= version
        };
        self.nodes.iter().filter(serving).count()
    }

    /// Returns one VM, and the virtual time at which the simulation stopped.
    pub fn into_vm(mut self, index: usize) -> (MonoTime, Vm) {
        let now = MonoTime::from_micros(self.now);
        (now, self.nodes.swap_remove(index).vm)
    }

    /// Runs the simulation for `millis` milliseconds and returns the counters of this period.
    pub fn run_ms(&mut self, millis: u64) -> Counts {
        self.counts = Counts::default();
        let end = self.now + millis * 1_000;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
        std::mem::take(&mut self.counts)
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    /// Returns whether the message with the current sequence number is lost, by the SplitMix64 hash
    /// of that number and the seed.
    fn is_lost(&self) -> bool {
        let (seed, per_mille) = self.loss;
        let step = self.sequence.wrapping_add(seed << 32);
        let mixed = step.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % 1_000 < per_mille
    }

    fn next_request(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request)
    }
}

fn settings(index: usize) -> VmSettings {
    let member = sample::roster_member(index);
    VmSettings::new(
        member.vm,
        member.incarnation,
        member.data_centre,
        member.address,
        u64::try_from(index).unwrap_or(0) + 1,
    )
}

/// Returns the name under which a message is counted.
fn message_kind(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Config(_) => "config",
        PeerMessage::Membership(_) => "membership",
        PeerMessage::Failover(_) => "failover",
        PeerMessage::Rates(_) => "rates",
        PeerMessage::Dispatch(_) => "dispatch",
    }
}
