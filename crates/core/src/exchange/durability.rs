//! Tracks which log positions replicas have confirmed, so that a write is acknowledged only when
//! enough replicas have received it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Position;
use crate::types::RequestId;
use crate::types::Term;

/// The positions confirmed by the replicas of one group, and the answers that wait for them.
#[derive(Debug, Default)]
pub(super) struct Durability {
    confirmed: BTreeMap<MemberId, Position>,
    /// The position that each replica has been asked to confirm and has not confirmed yet.
    requested: BTreeMap<MemberId, Position>,
    held: BTreeSet<(Position, RequestId)>,
    pub(super) retry_at: Option<MonoTime>,
}

impl Durability {
    pub(super) fn hold(&mut self, position: Position, request: RequestId) {
        self.held.insert((position, request));
    }

    pub(super) fn release(&mut self, position: Position, request: RequestId) {
        self.held.remove(&(position, request));
    }

    /// Returns the statements whose answers wait for this position or an earlier one.
    pub(super) fn held_up_to(&self, position: Position) -> Vec<RequestId> {
        let limit = (position, RequestId(u64::MAX));
        self.held
            .range(..=limit)
            .map(|(_, request)| *request)
            .collect()
    }

    pub(super) fn all_held(&self) -> Vec<RequestId> {
        self.held.iter().map(|(_, request)| *request).collect()
    }

    /// Records a position that a replica has received, and ends its outstanding request if the
    /// position satisfies it.
    pub(super) fn record_confirmation(&mut self, member: &MemberId, position: Position) {
        let known = self.confirmed.entry(member.clone()).or_default();
        *known = position.max(*known);
        if self
            .requested
            .get(member)
            .is_some_and(|requested| *requested <= position)
        {
            self.requested.remove(member);
        }
    }

    pub(super) fn cancel_request(&mut self, member: &MemberId) {
        self.requested.remove(member);
    }

    /// Discards all confirmations, because a term change may roll back log entries that replicas
    /// had received.
    pub(super) fn clear_confirmations(&mut self) {
        self.confirmed.clear();
        self.requested.clear();
    }

    /// Returns whether at least `replicas` replicas have received a position that the primary of
    /// `term` reported.
    ///
    /// A promotion fences a majority of the members. With `replicas` copies besides the primary's,
    /// every majority contains a member that has one. A confirmation of a later term is not
    /// counted, as it may come from a log that does not contain the position.
    pub(super) fn is_durable(&self, position: Position, term: Term, replicas: usize) -> bool {
        let confirmations = self.confirmed.values();
        let enough = confirmations.filter(|seen| **seen >= position && seen.term <= term);
        enough.count() >= replicas
    }

    /// Returns the position that a replica should be asked to confirm now, and records the request.
    ///
    /// Returns `None` if no answer waits, a request is outstanding, or the replica has confirmed
    /// the highest position that an answer waits for.
    pub(super) fn next_request(&mut self, member: &MemberId) -> Option<Position> {
        let (wanted, _) = *self.held.last()?;
        let known = self.confirmed.get(member).copied().unwrap_or_default();
        if self.requested.contains_key(member) || known >= wanted {
            return None;
        }
        self.requested.insert(member.clone(), wanted);
        Some(wanted)
    }
}

/// Returns how many replicas must confirm a write in a group of `members` members, so that together
/// with the primary's copy every majority of the members contains a copy. A group of three needs
/// one replica.
pub(super) fn replicas_needed(members: usize) -> usize {
    members.div_ceil(2).saturating_sub(1).max(1)
}
