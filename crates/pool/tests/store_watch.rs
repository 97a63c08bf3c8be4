//! When the watch of one kind of object calls the store.

use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use lycheedoor_pool::ObjectAnswer;
use lycheedoor_pool::ObjectChange;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::StoreRevision;
use lycheedoor_pool::StoreWatcher;

/// A watch of a store in which a change is made at each of some times.
struct Watch {
    watcher: StoreWatcher,
    now: MonoTime,
    calls: u32,
    is_waiting: bool,
    unread: u64,
    revision: u64,
}

impl Watch {
    fn new() -> Self {
        let mut watch = Self {
            watcher: StoreWatcher::new(ObjectKind::Members),
            now: MonoTime::from_millis(1_000),
            calls: 0,
            is_waiting: false,
            unread: 0,
            revision: 1,
        };
        assert!(watch.watcher.next_call(watch.now).is_some());
        let page = ObjectAnswer::Page {
            objects: Vec::new(),
            next_after: None,
            revision: 1.into(),
        };
        watch.watcher.answered(watch.now, page);
        watch.advance(Duration::from_secs(10));
        watch.calls = 0;
        watch
    }

    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Duration::from_millis(5);
            if self.watcher.next_call(self.now).is_some() {
                self.calls += 1;
                self.is_waiting = true;
            }
            if self.is_waiting && self.unread > 0 {
                self.is_waiting = false;
                let changes = (0..std::mem::take(&mut self.unread)).map(|number| ObjectChange {
                    name: format!("m{number}"),
                    revision: self.revision.into(),
                    value: None,
                });
                let answer = ObjectAnswer::Events {
                    changes: changes.collect(),
                    revision: self.revision.into(),
                };
                self.watcher.answered(self.now, answer);
            }
        }
    }

    fn change(&mut self) {
        self.revision += 1;
        self.unread += 1;
    }
}

/// Guards against a call of each VM for each of many changes, which the start of the members or
/// configurations in quick succession cause.
#[test]
fn changes_in_quick_succession_are_read_together() {
    let mut watch = Watch::new();
    for _ in 0..24 {
        watch.change();
        watch.advance(Duration::from_millis(80));
    }
    watch.advance(Duration::from_secs(1));
    assert_eq!(watch.unread, 0);
    assert!(watch.calls <= 8, "{} calls", watch.calls);
}

/// Guards against a delay of changes that do not come in quick succession.
#[test]
fn occasional_changes_are_read_at_once() {
    let mut watch = Watch::new();
    for _ in 0..8 {
        watch.change();
        watch.advance(Duration::from_millis(10));
        assert_eq!(watch.unread, 0);
        watch.advance(Duration::from_millis(600));
    }
}

fn object(name: &str, revision: u64) -> ObjectChange {
    ObjectChange {
        name: name.to_owned(),
        revision: StoreRevision::from(revision),
        value: Some(ObjectValue::Evacuation),
    }
}

/// Returns a watcher that has listed the given objects at a revision.
fn listed(objects: Vec<ObjectChange>, revision: u64) -> StoreWatcher {
    let mut watcher = StoreWatcher::new(ObjectKind::Evacuations);
    let now = MonoTime::from_millis(1_000);
    assert!(watcher.next_call(now).is_some());
    let page = ObjectAnswer::Page {
        objects,
        next_after: None,
        revision: revision.into(),
    };
    watcher.answered(now, page);
    watcher
}

fn read_events(watcher: &mut StoreWatcher, changes: Vec<ObjectChange>, revision: u64) {
    let now = MonoTime::from_millis(2_000);
    watcher.next_call(now);
    let revision = StoreRevision::from(revision);
    watcher.answered(now, ObjectAnswer::Events { changes, revision });
}

fn names(changes: &[ObjectChange]) -> Vec<&str> {
    changes.iter().map(|change| change.name.as_str()).collect()
}

/// Guards against a VM that misses a change because a message with an earlier one was lost.
#[test]
fn update_that_leaves_out_changes_is_not_applied() {
    let mut relay = listed(Vec::new(), 10);
    let mut follower = listed(Vec::new(), 10);
    read_events(&mut relay, vec![object("dc-1", 11)], 11);
    let lost = relay.update_since(10.into()).unwrap();
    read_events(&mut relay, vec![object("dc-2", 12)], 12);
    let next = relay.update_since(11.into()).unwrap();
    assert_eq!(follower.apply(next), []);
    assert_eq!(names(&follower.apply(lost)), ["dc-1"]);
    let repeated = relay.update_since(11.into()).unwrap();
    assert_eq!(names(&follower.apply(repeated)), ["dc-2"]);
}

/// Guards against a VM that goes back to an older state, passed on by a relay that is behind or read
/// by a call that took long.
#[test]
fn older_state_is_not_applied() {
    let mut relay = listed(vec![object("dc-1", 5)], 10);
    let old = relay.update_since(0.into()).unwrap();
    let mut follower = listed(vec![object("dc-1", 5)], 11);
    assert_eq!(relay.update_since(11.into()), None);
    assert_eq!(follower.apply(old), []);
    let now = MonoTime::from_millis(2_000);
    assert!(follower.next_call(now).is_some());
    let removed = ObjectChange {
        value: None,
        ..object("dc-1", 12)
    };
    read_events(&mut relay, vec![removed], 12);
    let update = relay.update_since(11.into()).unwrap();
    assert_eq!(names(&follower.apply(update)), ["dc-1"]);
    let late = ObjectAnswer::Events {
        changes: vec![object("dc-1", 11)],
        revision: 11.into(),
    };
    assert_eq!(follower.answered(now, late), []);
    assert_eq!(follower.revision(), Some(12.into()));
}

/// Guards against objects that stay in use because their removal lies before what a relay remembers.
#[test]
fn complete_update_removes_objects_that_it_lacks() {
    let mut follower = listed(vec![object("dc-1", 5), object("dc-2", 6)], 7);
    let relay = listed(vec![object("dc-2", 6)], 20);
    let update = relay.update_since(7.into()).unwrap();
    let changes = follower.apply(update);
    let removed = changes.iter().filter(|change| change.value.is_none());
    assert_eq!(
        removed.map(|change| &change.name).collect::<Vec<_>>(),
        ["dc-1"]
    );
}
