//! The ring buffer in which a process records its events.

use serde::Deserialize;
use serde::Serialize;

use crate::timeline::EventCode;
use crate::timeline::HybridClock;
use crate::timeline::HybridTime;
use crate::timeline::Process;
use crate::timeline::Record;
use crate::timeline::Subject;
use crate::timeline::WallTime;

/// The recent events of one process, and the clock that stamps them.
#[derive(Clone, Debug)]
pub struct Timeline {
    process: Process,
    clock: HybridClock,
    records: Vec<Record>,
    /// The index of the oldest event once the ring buffer is full.
    oldest: usize,
    capacity: usize,
    next_sequence: u64,
}

/// The events of one process as they are sent to a collector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The process that recorded the events.
    pub process: Process,
    /// The sequence number from which the collector requested events.
    pub from_sequence: u64,
    /// The sequence number from which to continue: the one after the last exported event, or the
    /// next to be recorded if the export contains none.
    pub next_sequence: u64,
    /// When the export was made.
    pub taken_at: HybridTime,
    /// Whether the process responded to the collector. The collector sets it to `false` on an
    /// earlier export of a process that it can no longer reach: later events are lost.
    pub reached: bool,
    /// The requested events that were still in the ring buffer.
    pub records: Vec<Record>,
}

impl Timeline {
    /// Creates the timeline of a process. Allocates memory for `capacity` events at once, so that
    /// recording does not allocate. With a capacity of 0 nothing is recorded.
    pub fn new(process: Process, capacity: usize) -> Self {
        Self {
            process,
            clock: HybridClock::default(),
            records: Vec::with_capacity(capacity),
            oldest: 0,
            capacity,
            next_sequence: 0,
        }
    }

    /// Records an event and returns its timestamp. Overwrites the oldest event if the ring buffer
    /// is full.
    #[inline]
    pub fn record(&mut self, wall: WallTime, code: EventCode, subject: Subject) -> HybridTime {
        let time = self.clock.tick(wall);
        if !self.is_recording() {
            return time;
        }
        let record = Record {
            sequence: self.next_sequence,
            time,
            code,
            subject,
        };
        self.next_sequence += 1;
        if self.records.len() < self.capacity {
            self.records.push(record);
        } else if let Some(oldest) = self.records.get_mut(self.oldest) {
            *oldest = record;
            self.oldest = (self.oldest + 1) % self.capacity;
        }
        time
    }

    /// Returns the timestamp for an outgoing message.
    pub fn stamp(&mut self, wall: WallTime) -> HybridTime {
        self.clock.tick(wall)
    }

    /// Advances the clock past the timestamp of a received message.
    pub fn observe(&mut self, wall: WallTime, remote: HybridTime) {
        self.clock.merge(wall, remote);
    }

    /// Returns whether events are recorded; `false` with a capacity of 0.
    pub fn is_recording(&self) -> bool {
        self.capacity > 0
    }

    /// Returns the sequence number of the next event to be recorded.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Iterates over the events from a sequence number on that are still in the ring buffer, oldest
    /// first.
    pub fn records_from(&self, sequence: u64) -> impl Iterator<Item = &Record> {
        let first = self.next_sequence - self.records.len() as u64;
        let skip = usize::try_from(sequence.saturating_sub(first)).unwrap_or(usize::MAX);
        let (newer, older) = self.records.split_at(self.oldest);
        older.iter().chain(newer).skip(skip)
    }

    /// Returns how many events were overwritten by newer ones.
    pub fn dropped(&self) -> u64 {
        self.next_sequence - self.records.len() as u64
    }

    /// Exports the events from a sequence number on that are still in the ring buffer, at most
    /// `limit` of them.
    pub fn export(&self, wall: WallTime, from_sequence: u64, limit: usize) -> Export {
        let records = self.records_from(from_sequence).take(limit);
        let records: Vec<Record> = records.cloned().collect();
        let next_sequence = records
            .last()
            .map_or(self.next_sequence, |record| record.sequence + 1);
        Export {
            process: self.process.clone(),
            from_sequence,
            next_sequence,
            taken_at: self.clock.read(wall),
            reached: true,
            records,
        }
    }
}
