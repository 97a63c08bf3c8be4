//! Which slots hold the shares of a workspace's rate.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use lycheedoor_core::config::Config;
use lycheedoor_core::config::Workspace;
use lycheedoor_core::rates::RateDistribution;
use lycheedoor_core::rates::Rates;
use lycheedoor_core::rates::RatesEvent;
use lycheedoor_core::rates::SlotOwner;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::RosterView;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;

const WORKSPACES: u32 = 60;

fn workspace(number: u32) -> WorkspaceId {
    WorkspaceId::from(format!("workspace-{number}").as_str())
}

/// Returns the slots of each workspace in a fleet whose VMs are in three data centres by turns, the
/// data centre of a slot being its number modulo three.
fn slots(vms: u16, cells: u32) -> Vec<Vec<u16>> {
    let mut rates = Rates::default();
    rates.set_distribution(RateDistribution::Concentrated {
        rate_per_slot: 20,
        cells,
    });
    let owner = |vm: u16| SlotOwner {
        vm: VmId::from(format!("vm-{vm:03}").as_str()),
        data_centre: Some(DataCentreId::from(format!("dc-{}", vm % 3).as_str())),
    };
    rates.set_slot_owners((0..vms).map(owner).collect());
    let now = MonoTime::from_millis(1);
    let limit = |number| {
        let limit = Workspace {
            keys: Vec::new(),
            rate_per_s: 10,
            burst: 20,
            weight: 1,
        };
        (workspace(number), limit)
    };
    let config = Config {
        version: 1,
        workspaces: (0..WORKSPACES).map(limit).collect(),
        ..Config::default()
    };
    let mut actions = Vec::new();
    rates.handle(now, RatesEvent::Configured(Arc::new(config)), &mut actions);
    let view = RosterView {
        version: 1,
        slot_count: vms,
        slots: Vec::new(),
        peers: Vec::new(),
        lease_until: MonoTime::from_millis(1_000_000),
    };
    rates.handle(now, RatesEvent::Roster(view), &mut actions);
    let slots = |number| rates.share_slots(&workspace(number)).to_vec();
    (0..WORKSPACES).map(slots).collect()
}

/// Guards against a data centre whose loss takes all shares of a workspace.
#[test]
fn shares_of_a_workspace_are_in_different_data_centres() {
    for vms in [6, 30, 300] {
        for slots in slots(vms, 11) {
            let data_centres: BTreeSet<u16> = slots.iter().map(|slot| slot % 3).collect();
            assert_eq!(data_centres.len(), 3, "{vms} VMs: {slots:?}");
        }
    }
}

/// Guards against homes whose number grows with the number of workspaces, each of which needs
/// connections of its own.
#[test]
fn workspaces_of_a_cell_have_the_same_slots() {
    for vms in [6, 30, 300] {
        let distinct: BTreeSet<Vec<u16>> = slots(vms, 4).into_iter().collect();
        assert!(distinct.len() <= 4, "{vms} VMs: {} lists", distinct.len());
    }
}

/// Guards against shares that all move when one VM joins.
#[test]
fn vm_that_joins_moves_few_shares() {
    for vms in [30, 300] {
        let before = slots(vms, 16);
        let after = slots(vms + 1, 16);
        let pairs = before.iter().zip(&after);
        let mut moved: BTreeMap<u16, usize> = BTreeMap::new();
        for (before, after) in pairs {
            for slot in after.iter().filter(|slot| !before.contains(slot)) {
                *moved.entry(*slot).or_default() += 1;
            }
        }
        assert!(
            moved.keys().all(|slot| *slot == vms),
            "{vms} VMs: {moved:?}"
        );
    }
}
