//! Simulated network links between all pairs of nodes: cuts in each direction, message loss and
//! delay.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::case::Direction;
use crate::topology::NODE_COUNT;

#[derive(Debug, Default)]
pub(crate) struct Links {
    cut_until: BTreeMap<(usize, usize), u64>,
    loss_per_mille: u32,
    loss_until: u64,
}

impl Links {
    pub(crate) fn cut(&mut self, from: usize, to: usize, until: u64) {
        let known = self.cut_until.entry((from, to)).or_default();
        *known = until.max(*known);
    }

    /// Cuts the links between the nodes whose bits are set in `side` and all others.
    pub(crate) fn split(&mut self, side: u32, direction: Direction, until: u64) {
        let is_inside = |node: usize| side >> node & 1 == 1;
        for inside in (0..NODE_COUNT).filter(|node| is_inside(*node)) {
            for outside in (0..NODE_COUNT).filter(|node| !is_inside(*node)) {
                if direction != Direction::Inbound {
                    self.cut(inside, outside, until);
                }
                if direction != Direction::Outbound {
                    self.cut(outside, inside, until);
                }
            }
        }
    }

    pub(crate) fn set_loss(&mut self, per_mille: u32, until: u64) {
        self.loss_per_mille = per_mille;
        self.loss_until = until;
    }

    pub(crate) fn heal(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn has_fault(&self, now: u64) -> bool {
        now < self.loss_until || self.cut_until.values().any(|until| now < *until)
    }

    /// Returns whether the link from one node to another is up; streams retransmit until it is.
    pub(crate) fn passes(&self, now: u64, from: usize, to: usize) -> bool {
        let until = self.cut_until.get(&(from, to));
        until.is_none_or(|until| now >= *until)
    }

    pub(crate) fn passes_both(&self, now: u64, one: usize, other: usize) -> bool {
        self.passes(now, one, other) && self.passes(now, other, one)
    }

    /// Returns whether a single message arrives, given cuts and random loss.
    pub(crate) fn carries(&self, now: u64, from: usize, to: usize, rng: &mut ChaCha8Rng) -> bool {
        let lost = now < self.loss_until && rng.random_range(0..1_000) < self.loss_per_mille;
        self.passes(now, from, to) && !lost
    }
}

/// Returns a random message delay, in microseconds. One in a hundred is about ten times longer.
pub(crate) fn delay(rng: &mut ChaCha8Rng) -> u64 {
    match rng.random_range(0..100) {
        0 => rng.random_range(2_000..15_000),
        _ => rng.random_range(200..1_500),
    }
}
