//! How many statements a VM sends to a member that has just started and is slow.
//!
//! The limit of a cold member holds for all VMs together in any second, and VMs exchange no message
//! about it. So the parts have to add up to less than the limit even when all VMs send at once.

use lycheedoor_core::types::MonoTime;

/// Returns how many statements a second a VM may send to a cold member that takes `limit_per_s`
/// from `vms` VMs; nothing if it has to leave the member to others.
///
/// No more VMs use the member than its limit has whole statements. Each may have saved up one
/// statement, and half of the limit accrues within a second, so that in any second at most one and
/// a half times the limit is sent.
pub fn cold_part(limit_per_s: f64, vms: u32, place: u32) -> Option<f64> {
    let vms = vms.max(1);
    let users = (1..=vms)
        .rev()
        .find(|users| f64::from(*users) <= limit_per_s);
    let users = users.unwrap_or(1);
    (place % vms < users).then(|| limit_per_s / 2.0 / f64::from(users))
}

/// A bucket of at most one statement for a cold member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdBucket {
    level: f64,
    settled_at: MonoTime,
}

impl Default for ColdBucket {
    fn default() -> Self {
        Self {
            level: 1.0,
            settled_at: MonoTime::ZERO,
        }
    }
}

impl ColdBucket {
    /// Returns whether a statement may be sent.
    pub(crate) fn has_room(&self, now: MonoTime, per_s: f64) -> bool {
        per_s > 0.0 && self.level_at(now, per_s) >= 1.0
    }

    /// Counts a statement that is sent. Those of an open transaction are sent in any case, and
    /// delay the next one.
    pub(crate) fn take(&mut self, now: MonoTime, per_s: f64) {
        self.level = self.level_at(now, per_s) - 1.0;
        self.settled_at = now;
    }

    fn level_at(&self, now: MonoTime, per_s: f64) -> f64 {
        let gained = now.since(self.settled_at).as_secs_f64() * per_s;
        (self.level + gained).min(1.0)
    }
}
