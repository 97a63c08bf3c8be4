//! Changes to the fence and the conditions under which each may be written.

use crate::membership::Fence;
use crate::membership::GroupState;
use crate::membership::IntentPhase;
use crate::membership::PromotionIntent;
use crate::membership::Roster;
use crate::membership::RosterMember;
use crate::membership::RosterMemberKey;
use crate::membership::SlotAssignment;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::Nonce;
use crate::types::Term;
use crate::types::VmId;

/// A change to the fence, which takes effect with a conditional update on the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceChange {
    /// Adds a VM to the roster. An earlier incarnation of the same VM counts as ended.
    Join {
        /// The VM that joins; its list of slots is empty.
        member: RosterMember,
        /// The number of slots of the roster; used only for the first member.
        slot_count: u16,
    },
    /// Removes a member that has stopped acting and confirming versions.
    Leave {
        /// The member that leaves.
        member: RosterMemberKey,
    },
    /// Records that the process of a member or former member is known to have ended.
    ReportEnded {
        /// The member whose process has ended.
        member: RosterMemberKey,
    },
    /// Removes members that are unresponsive or have ended.
    Remove {
        /// The members to remove; those that the roster does not contain are ignored.
        members: Vec<RosterMemberKey>,
    },
    /// Drops the previous members once the last change of the members is settled.
    ClearPrevious,
    /// Assigns each free slot to the member that holds the fewest.
    AssignFreeSlots,
    /// Moves a slot, which its holder has stopped using, to another member.
    TransferSlot {
        /// The number of the slot.
        slot: u16,
        /// The member that holds the slot.
        from: RosterMemberKey,
        /// The member that is to hold the slot.
        to: RosterMemberKey,
    },
    /// Adds a group that the fence does not contain yet, with its current primary.
    AddGroup {
        /// The group to add.
        group: GroupId,
        /// The term and primary that the members report.
        state: GroupState,
    },
    /// Opens a promotion intent because the primary of a group is suspected. The intent takes the
    /// nonce of the update that opens it, so that no two intents share a nonce; a request is
    /// tried once.
    OpenIntent {
        /// The group whose primary is suspected.
        group: GroupId,
        /// The term that the promotion ends.
        from_term: Term,
        /// `Fencing` if a member has already been fenced, so that an answer of the primary can no
        /// longer cancel the intent.
        phase: IntentPhase,
        /// The VM that opens the intent.
        promoter: VmId,
    },
    /// Cancels an intent because the primary answers again and no member has been fenced.
    CancelIntent {
        /// The group of the intent.
        group: GroupId,
        /// The nonce of the intent.
        nonce: Nonce,
    },
    /// Records that members are about to be fenced; the intent can no longer be cancelled.
    StartFencing {
        /// The group of the intent.
        group: GroupId,
        /// The nonce of the intent.
        nonce: Nonce,
        /// The VM that runs the promotion from now on.
        promoter: VmId,
    },
    /// Makes a member the primary of the next term. Must be requested only for a settled intent.
    CompletePromotion {
        /// The group of the intent.
        group: GroupId,
        /// The nonce of the intent.
        nonce: Nonce,
        /// The member that becomes primary.
        member: MemberId,
    },
}

/// The result of applying a change to a fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeResult {
    /// The fence contains the change now.
    Applied,
    /// The change must wait until the last change of the members is settled.
    Deferred,
    /// The fence already contains the change or rules it out.
    Inapplicable,
}

impl FenceChange {
    /// Applies the change to a fence that already has the nonce of the update. `settled` states
    /// whether the last change of the members is settled.
    pub fn apply(&self, fence: &mut Fence, settled: bool) -> ChangeResult {
        match self {
            Self::Join { member, slot_count } => join(fence, member, *slot_count, settled),
            Self::Leave { member } => leave(fence, member, settled),
            Self::ReportEnded { member } => {
                let roster = &mut fence.roster;
                let open = roster.current_or_former_member(member).is_some()
                    && !roster.ended.contains(member);
                apply_if(open, || roster.ended.push(member.clone()))
            }
            Self::Remove { members } => remove(fence, members, settled),
            Self::ClearPrevious => clear_previous(&mut fence.roster, settled),
            Self::AssignFreeSlots => assign_free_slots(fence),
            Self::TransferSlot { slot, from, to } => transfer_slot(fence, *slot, from, to),
            Self::AddGroup { group, state } => {
                let absent = !fence.groups.contains_key(group);
                apply_if(absent, || {
                    fence.groups.insert(group.clone(), state.clone());
                })
            }
            Self::OpenIntent {
                group,
                from_term,
                phase,
                promoter,
            } => {
                let intent = PromotionIntent {
                    from_term: *from_term,
                    nonce: fence.nonce,
                    promoter: promoter.clone(),
                    phase: *phase,
                };
                apply_if(fence.may_acknowledge(group, *from_term), || {
                    fence.intents.insert(group.clone(), intent);
                })
            }
            Self::CancelIntent { group, nonce } => {
                let open = intent_matches(fence, group, *nonce, Some(IntentPhase::Suspected));
                apply_if(open, || {
                    fence.intents.remove(group);
                })
            }
            Self::StartFencing {
                group,
                nonce,
                promoter,
            } => start_fencing(fence, group, *nonce, promoter),
            Self::CompletePromotion {
                group,
                nonce,
                member,
            } => complete_promotion(fence, group, *nonce, member),
        }
    }
}

impl FenceChange {
    /// Returns whether the change adds or removes members, which must then be settled.
    pub fn changes_members(&self) -> bool {
        matches!(
            self,
            Self::Join { .. } | Self::Leave { .. } | Self::Remove { .. }
        )
    }
}

fn apply_if(applicable: bool, change: impl FnOnce()) -> ChangeResult {
    if applicable {
        change();
        ChangeResult::Applied
    } else {
        ChangeResult::Inapplicable
    }
}

fn intent_matches(
    fence: &Fence,
    group: &GroupId,
    nonce: Nonce,
    phase: Option<IntentPhase>,
) -> bool {
    let intent = fence.intents.get(group);
    intent.is_some_and(|i| i.nonce == nonce && phase.is_none_or(|phase| i.phase == phase))
}

fn join(fence: &mut Fence, member: &RosterMember, slot_count: u16, settled: bool) -> ChangeResult {
    let version = fence.version;
    let roster = &mut fence.roster;
    if roster.member(&member.key()).is_some() {
        return ChangeResult::Inapplicable;
    }
    if !settled {
        return ChangeResult::Deferred;
    }
    if roster.slot_count == 0 {
        roster.slot_count = slot_count;
    }
    let before = roster.members.clone();
    roster.members.retain(|old| old.vm != member.vm);
    roster.members.push(member.clone());
    roster.members.sort_by(|a, b| a.vm.cmp(&b.vm));
    let replaced = before.iter().filter(|old| old.vm == member.vm);
    roster.ended.extend(replaced.map(RosterMember::key));
    start_member_change(roster, before, version);
    ChangeResult::Applied
}

fn leave(fence: &mut Fence, member: &RosterMemberKey, settled: bool) -> ChangeResult {
    let result = remove(fence, std::slice::from_ref(member), settled);
    if result == ChangeResult::Applied {
        fence.roster.ended.push(member.clone());
    }
    result
}

fn remove(fence: &mut Fence, members: &[RosterMemberKey], settled: bool) -> ChangeResult {
    let version = fence.version;
    let roster = &mut fence.roster;
    if !members.iter().any(|key| roster.member(key).is_some()) {
        return ChangeResult::Inapplicable;
    }
    if !settled {
        return ChangeResult::Deferred;
    }
    let before = roster.members.clone();
    roster
        .members
        .retain(|m| !members.iter().any(|key| m.matches_key(key)));
    start_member_change(roster, before, version);
    ChangeResult::Applied
}

fn start_member_change(roster: &mut Roster, before: Vec<RosterMember>, version: u64) {
    roster.changed_after = version;
    roster.previous = (!before.is_empty()).then_some(before);
    prune_ended(roster);
}

fn clear_previous(roster: &mut Roster, settled: bool) -> ChangeResult {
    apply_if(settled && roster.previous.is_some(), || {
        roster.previous = None;
        prune_ended(roster);
    })
}

fn prune_ended(roster: &mut Roster) {
    let mut ended = std::mem::take(&mut roster.ended);
    ended.retain(|key| roster.current_or_former_member(key).is_some());
    ended.sort();
    ended.dedup();
    roster.ended = ended;
}

/// Assigns the free slots. A slot of a former member is free as soon as the roster no longer
/// contains that member, but is assigned only once the change is settled, when the former member
/// can hold no lease any more.
fn assign_free_slots(fence: &mut Fence) -> ChangeResult {
    let assigned_after = fence.version;
    let roster = &mut fence.roster;
    let free = roster.free_slots();
    if roster.previous.is_some() || roster.members.is_empty() {
        return ChangeResult::Inapplicable;
    }
    for slot in &free {
        let fewest = roster.members.iter_mut().min_by_key(|m| m.slots.len());
        if let Some(member) = fewest {
            member.slots.push(SlotAssignment {
                slot: *slot,
                assigned_after,
            });
        }
    }
    apply_if(!free.is_empty(), || {})
}

fn transfer_slot(
    fence: &mut Fence,
    slot: u16,
    from: &RosterMemberKey,
    to: &RosterMemberKey,
) -> ChangeResult {
    let assigned_after = fence.version;
    let members = &mut fence.roster.members;
    let holds = |m: &RosterMember| m.matches_key(from) && m.slots.iter().any(|s| s.slot == slot);
    let applicable = members.iter().any(holds) && members.iter().any(|m| m.matches_key(to));
    apply_if(applicable, || {
        for member in members.iter_mut() {
            member.slots.retain(|held| held.slot != slot);
            if member.matches_key(to) {
                member.slots.push(SlotAssignment {
                    slot,
                    assigned_after,
                });
            }
        }
    })
}

fn start_fencing(
    fence: &mut Fence,
    group: &GroupId,
    nonce: Nonce,
    promoter: &VmId,
) -> ChangeResult {
    let intent = fence.intents.get_mut(group);
    match intent.filter(|i| i.nonce == nonce && i.phase == IntentPhase::Suspected) {
        Some(intent) => {
            intent.phase = IntentPhase::Fencing;
            intent.promoter = promoter.clone();
            ChangeResult::Applied
        }
        None => ChangeResult::Inapplicable,
    }
}

fn complete_promotion(
    fence: &mut Fence,
    group: &GroupId,
    nonce: Nonce,
    member: &MemberId,
) -> ChangeResult {
    if !intent_matches(fence, group, nonce, Some(IntentPhase::Fencing)) {
        return ChangeResult::Inapplicable;
    }
    match (fence.intents.remove(group), fence.groups.get_mut(group)) {
        (Some(intent), Some(state)) => {
            state.term = intent.from_term.next();
            state.primary = member.clone();
            ChangeResult::Applied
        }
        _ => ChangeResult::Inapplicable,
    }
}
