//! What an attempt to replace a primary leaves at the members when it ends without a promotion: replicas
//! that stay paused, and a primary that has stepped down.

mod support;

use support::PRIMARY;
use support::fake_group::FakeGroup;

/// Guards against a service without a primary for ever: the old one has stepped down for an attempt that
/// ended, and the replicas are down.
#[test]
fn primary_that_has_stepped_down_can_be_promoted_again() {
    for sync_replicas in [0, 1] {
        let mut fake = FakeGroup::start(sync_replicas);
        fake.run(1_000);
        fake.primary = None;
        fake.down = match sync_replicas {
            0 => vec!["m2", "m3"],
            _ => vec!["m3"],
        };
        fake.received.insert(PRIMARY, 12);
        fake.write();
        fake.run(8_000);
        assert_eq!(fake.primary, Some(PRIMARY), "{sync_replicas}");
    }
}
