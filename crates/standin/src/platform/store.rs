//! State of the stand-in platform that all connections share: objects, VM lists and faults.

use std::collections::BTreeMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use lycheedoor_platform::ObjectBody;
use lycheedoor_platform::ObjectListing;
use lycheedoor_platform::Value;
use lycheedoor_platform::VmListing;
use serde::Deserialize;
use serde::Serialize;

use super::fault::FaultMode;
use super::fault::Faults;

/// How many VM lists are kept, including the latest, to serve older ones for `stale_list_ms`.
const MAX_VM_LISTS: usize = 1_000;

/// Numbers of requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads without waiting.
    pub gets: u64,
    /// Watches, which are long polls.
    pub watches: u64,
    /// Writes, accepted or not.
    pub puts: u64,
    /// Writes rejected because the expected version was not the current one.
    pub conflicts: u64,
    /// Requests for a list of objects or VMs.
    pub lists: u64,
    /// Requests without a response because of a fault.
    pub unanswered: u64,
}

/// The response to a request, or `None` if a fault withholds it.
pub(super) type Response<T> = Option<T>;

/// The result of a write: the new version, or the current one if it is not the expected one.
pub(super) type PutResult = Result<u64, u64>;

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    vm_lists: Vec<(Instant, Vec<VmListing>)>,
    faults: Faults,
    counts: Counts,
}

impl State {
    fn object(&self, name: &str) -> (u64, &[u8]) {
        self.objects
            .get(name)
            .map_or((0, &[]), |(version, value)| (*version, value))
    }

    fn withhold_response<T>(&mut self) -> Response<T> {
        self.counts.unanswered += 1;
        None
    }
}

#[derive(Debug, Default)]
pub(super) struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Locks the state. A thread that panics while it holds the lock leaves the state usable, so
    /// poisoning is ignored.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_fault(&self, mode: FaultMode) {
        self.lock().faults.apply(mode);
        self.changed.notify_all();
    }

    pub(super) fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Returns the injected delay of each request.
    pub(super) fn request_delay(&self) -> Duration {
        self.lock().faults.added_delay
    }

    pub(super) fn set_vms(&self, vms: Vec<VmListing>) {
        let mut state = self.lock();
        if state.vm_lists.len() >= MAX_VM_LISTS {
            state.vm_lists.remove(0);
        }
        state.vm_lists.push((Instant::now(), vms));
    }

    pub(super) fn vms(&self) -> Response<Vec<VmListing>> {
        let mut state = self.lock();
        state.counts.lists += 1;
        if state.faults.down {
            return state.withhold_response();
        }
        let lag = state.faults.list_lag;
        let list = state
            .vm_lists
            .iter()
            .rev()
            .find(|(since, _)| since.elapsed() >= lag)
            .map(|(_, vms)| vms.clone());
        let mut list = list.unwrap_or_default();
        list.sort_by(|a, b| a.vm.cmp(&b.vm));
        Some(list)
    }

    pub(super) fn list(&self, prefix: &str) -> Response<Vec<ObjectListing>> {
        let mut state = self.lock();
        state.counts.lists += 1;
        if state.faults.down {
            return state.withhold_response();
        }
        let listings = state
            .objects
            .iter()
            .filter(|(name, _)| name.starts_with(prefix))
            .map(|(name, (version, _))| ObjectListing {
                name: name.clone(),
                version: *version,
            });
        Some(listings.collect())
    }

    /// Returns the object, or `Some(None)` if it still has the known version.
    pub(super) fn get(
        &self,
        name: &str,
        known_version: u64,
        wait: Option<Duration>,
    ) -> Response<Option<ObjectBody>> {
        let mut state = self.lock();
        if wait.is_some() {
            state.counts.watches += 1;
        } else {
            state.counts.gets += 1;
        }
        let deadline = wait.map(|wait| Instant::now() + wait);
        loop {
            if state.faults.down {
                return state.withhold_response();
            }
            let (version, value) = state.object(name);
            if version != known_version || (version == 0 && deadline.is_none()) {
                let value = Value::from_bytes(value);
                return Some(Some(ObjectBody { version, value }));
            }
            let left = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
            let Some(left) = left.filter(|left| !left.is_zero()) else {
                return Some(None);
            };
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    pub(super) fn put(
        &self,
        name: String,
        expected_version: u64,
        value: Vec<u8>,
    ) -> Response<PutResult> {
        let mut state = self.lock();
        state.counts.puts += 1;
        if state.faults.down {
            return state.withhold_response();
        }
        let (version, _) = state.object(&name);
        let result = if version == expected_version {
            state.objects.insert(name, (version + 1, value));
            self.changed.notify_all();
            Ok(version + 1)
        } else {
            state.counts.conflicts += 1;
            Err(version)
        };
        if state.faults.lose_put_answers > 0 {
            state.faults.lose_put_answers -= 1;
            return state.withhold_response();
        }
        Some(result)
    }
}
