//! A simulation of the platform's object store: versions, conditional updates, watches and faults.

use std::collections::BTreeMap;

use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;

use crate::vms::Start;

#[derive(Clone, Debug)]
pub(crate) struct Watch {
    pub(crate) start: Start,
    pub(crate) call: u64,
    pub(crate) object: String,
}

#[derive(Debug, Default)]
pub(crate) struct Platform {
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    pub(crate) watches: Vec<Watch>,
    pub(crate) down_until: u64,
    pub(crate) slow_until: u64,
    pub(crate) latency_us: u64,
    /// The number of answers to updates that will be dropped.
    pub(crate) answers_to_lose: u32,
}

impl Platform {
    pub(crate) fn is_down(&self, now: u64) -> bool {
        now < self.down_until
    }

    pub(crate) fn has_fault(&self, now: u64) -> bool {
        self.is_down(now) || now < self.slow_until || self.answers_to_lose > 0
    }

    /// Returns the delay that the platform adds to a call, in microseconds.
    pub(crate) fn latency(&self, now: u64) -> u64 {
        let slow = now < self.slow_until;
        if slow { self.latency_us } else { 500 }
    }

    pub(crate) fn heal(&mut self) {
        self.down_until = 0;
        self.slow_until = 0;
        self.answers_to_lose = 0;
    }

    pub(crate) fn version(&self, object: &str) -> u64 {
        self.objects.get(object).map_or(0, |(version, _)| *version)
    }

    pub(crate) fn value(&self, object: &str) -> &[u8] {
        self.objects
            .get(object)
            .map_or(&[], |(_, value)| value.as_slice())
    }

    /// Stores a value if the object's version is `expected`, and returns the new version.
    pub(crate) fn put(&mut self, object: &str, expected: u64, value: Vec<u8>) -> Option<u64> {
        if self.version(object) != expected {
            return None;
        }
        let stored = (expected + 1, value);
        self.objects.insert(object.to_owned(), stored);
        Some(expected + 1)
    }

    fn read(&self, object: &str, known: u64) -> PlatformAnswer {
        let version = self.version(object);
        if version == known && version > 0 {
            return PlatformAnswer::Unchanged { version };
        }
        let value = self.value(object).to_vec();
        PlatformAnswer::Object { version, value }
    }

    /// Answers a request, or returns `None` if it is a watch of an object that has not changed.
    pub(crate) fn serve(
        &mut self,
        start: Start,
        call: u64,
        request: PlatformRequest,
    ) -> Option<PlatformAnswer> {
        match request {
            PlatformRequest::Get {
                object,
                known_version,
            } => Some(self.read(&object, known_version)),
            PlatformRequest::Watch {
                object,
                known_version,
            } => {
                if self.version(&object) != known_version {
                    return Some(self.read(&object, known_version));
                }
                self.watches.push(Watch {
                    start,
                    call,
                    object,
                });
                None
            }
            PlatformRequest::Put {
                object,
                expected_version,
                value,
            } => Some(match self.put(&object, expected_version, value) {
                Some(version) => PlatformAnswer::Updated { version },
                None => PlatformAnswer::Conflict {
                    version: self.version(&object),
                },
            }),
        }
    }

    /// Removes and returns the watches of a changed object, with their answer.
    pub(crate) fn take_watches_of(&mut self, object: &str) -> Vec<(Watch, PlatformAnswer)> {
        let answer = self.read(object, 0);
        let matches_object = |watch: &Watch| watch.object == object;
        let taken: Vec<Watch> = self
            .watches
            .iter()
            .filter(|w| matches_object(w))
            .cloned()
            .collect();
        self.watches.retain(|watch| !matches_object(watch));
        taken
            .into_iter()
            .map(|watch| (watch, answer.clone()))
            .collect()
    }

    /// Removes a watch that has reached its time limit, and returns its answer.
    pub(crate) fn expire(&mut self, start: Start, call: u64) -> Option<PlatformAnswer> {
        let matches_call = |watch: &Watch| watch.start == start && watch.call == call;
        let index = self.watches.iter().position(matches_call)?;
        let watch = self.watches.remove(index);
        let version = self.version(&watch.object);
        Some(PlatformAnswer::Unchanged { version })
    }
}
