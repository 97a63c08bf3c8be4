//! When the watch of one kind of object calls the store.

use std::time::Duration;

use lycheedoor_core::types::MonoTime;
use lycheedoor_pool::ObjectAnswer;
use lycheedoor_pool::ObjectChange;
use lycheedoor_pool::ObjectKind;
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
            revision: 1,
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
                    revision: self.revision,
                    value: None,
                });
                let answer = ObjectAnswer::Events {
                    changes: changes.collect(),
                    revision: self.revision,
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
