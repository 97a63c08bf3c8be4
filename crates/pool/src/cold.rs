//! Limits how many statements a VM sends to a member that has just started and is slow.
//!
//! The limit of a cold member applies to all VMs together in any second, but VMs exchange no
//! messages about it. So their shares must not exceed the limit even when all VMs send at once.

use lycheedoor_core::types::MonoTime;

/// Returns how many statements a second a VM may send to a cold member that accepts `limit_per_s`
/// from `vms` VMs together; `None` if it has to leave the member to other VMs. `rank` is the VM's
/// index in the order of VMs.
///
/// The number of VMs that use the member is at most the number of whole statements in its limit.
/// Each may have saved up one statement, and half of the limit accrues within a second, so that in
/// any second at most one and a half times the limit is sent.
pub fn cold_share(limit_per_s: f64, vms: u32, rank: u32) -> Option<f64> {
    let vms = vms.max(1);
    let users = (1..=vms)
        .rev()
        .find(|users| f64::from(*users) <= limit_per_s);
    let users = users.unwrap_or(1);
    (rank % vms < users).then(|| limit_per_s / 2.0 / f64::from(users))
}

/// A token bucket for a cold member that holds at most one statement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdBucket {
    tokens: f64,
    updated_at: MonoTime,
}

impl Default for ColdBucket {
    fn default() -> Self {
        Self {
            tokens: 1.0,
            updated_at: MonoTime::ZERO,
        }
    }
}

impl ColdBucket {
    /// Returns whether a statement may be sent.
    pub(crate) fn has_room(&self, now: MonoTime, per_s: f64) -> bool {
        per_s > 0.0 && self.tokens_at(now, per_s) >= 1.0
    }

    /// Counts a statement that is sent. Statements of an open transaction are sent in any case, and
    /// delay the next one.
    pub(crate) fn take(&mut self, now: MonoTime, per_s: f64) {
        self.tokens = self.tokens_at(now, per_s) - 1.0;
        self.updated_at = now;
    }

    fn tokens_at(&self, now: MonoTime, per_s: f64) -> f64 {
        let gained = now.since(self.updated_at).as_secs_f64() * per_s;
        (self.tokens + gained).min(1.0)
    }
}
