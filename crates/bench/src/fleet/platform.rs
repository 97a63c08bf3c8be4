//! The simulated platform: objects by cell, conditional updates and watches.

use std::collections::BTreeMap;

use lycheedoor_core::config::Config;
use lycheedoor_core::membership::Fence;
use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;

/// A value that is stored as JSON.
pub(super) trait Stored {
    /// Returns the value as JSON.
    fn to_json(&self) -> Vec<u8>;
}

impl Stored for Config {
    fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

impl Stored for Fence {
    fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// A watch that has not been answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watch {
    pub(super) vm: usize,
    pub(super) cell: usize,
    pub(super) call: u64,
    pub(super) known_version: u64,
}

#[derive(Debug, Default)]
pub(super) struct Platform {
    objects: BTreeMap<(usize, String), (u64, Vec<u8>)>,
    watches: Vec<(String, Watch)>,
}

impl Platform {
    pub(super) fn set(&mut self, cell: usize, object: &str, value: &dyn Stored) {
        let stored = self.objects.entry((cell, object.to_owned())).or_default();
        *stored = (stored.0 + 1, value.to_json());
    }

    /// Answers a call, or returns `None` for a watch whose object has not changed, which is kept.
    pub(super) fn call(
        &mut self,
        cell: usize,
        vm: usize,
        call: u64,
        request: &PlatformRequest,
    ) -> Option<PlatformAnswer> {
        match request {
            PlatformRequest::Get {
                object,
                known_version,
            } => Some(self.read(cell, object, *known_version)),
            PlatformRequest::Watch {
                object,
                known_version,
            } => match self.read(cell, object, *known_version) {
                PlatformAnswer::Unchanged { .. } => {
                    let known_version = *known_version;
                    let watch = Watch {
                        vm,
                        cell,
                        call,
                        known_version,
                    };
                    self.watches.push((object.clone(), watch));
                    None
                }
                answer => Some(answer),
            },
            PlatformRequest::Put {
                object,
                expected_version,
                value,
            } => Some(self.update(cell, object, *expected_version, value)),
        }
    }

    fn read(&self, cell: usize, object: &str, known_version: u64) -> PlatformAnswer {
        match self.objects.get(&(cell, object.to_owned())) {
            Some((version, _)) if *version == known_version => PlatformAnswer::Unchanged {
                version: known_version,
            },
            Some((version, value)) => PlatformAnswer::Object {
                version: *version,
                value: value.clone(),
            },
            None => PlatformAnswer::Object {
                version: 0,
                value: Vec::new(),
            },
        }
    }

    fn update(
        &mut self,
        cell: usize,
        object: &str,
        expected_version: u64,
        value: &[u8],
    ) -> PlatformAnswer {
        let stored = self.objects.entry((cell, object.to_owned())).or_default();
        if stored.0 != expected_version {
            return PlatformAnswer::Conflict { version: stored.0 };
        }
        *stored = (stored.0 + 1, value.to_vec());
        PlatformAnswer::Updated { version: stored.0 }
    }

    /// Removes and returns the watches whose objects have changed, with their answers.
    pub(super) fn take_changed_watches(&mut self) -> Vec<(Watch, PlatformAnswer)> {
        let watches = std::mem::take(&mut self.watches);
        let mut fired = Vec::new();
        for (object, watch) in watches {
            match self.read(watch.cell, &object, watch.known_version) {
                PlatformAnswer::Unchanged { .. } => self.watches.push((object, watch)),
                answer => fired.push((watch, answer)),
            }
        }
        fired
    }

    /// Removes a watch that has reached its time limit. Returns the version that it named, or
    /// `None` if it was already answered.
    pub(super) fn expire(&mut self, vm: usize, call: u64) -> Option<u64> {
        let found = |(_, watch): &(String, Watch)| watch.vm == vm && watch.call == call;
        let index = self.watches.iter().position(found)?;
        Some(self.watches.remove(index).1.known_version)
    }
}
