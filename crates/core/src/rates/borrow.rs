//! Requests for tokens and refill rates to peers, and the answers to requests of peers.

use crate::rates::BORROWER_LOAN_LIFETIME;
use crate::rates::IDLE_LOAN_CHECK_INTERVAL;
use crate::rates::LOAN_RENEWAL_INTERVAL;
use crate::rates::LendingMode;
use crate::rates::NANOTOKENS_PER_MILLITOKEN;
use crate::rates::Rates;
use crate::rates::RatesAction;
use crate::rates::last_seq;
use crate::rates::loan::Lender;
use crate::rates::message::Grant;
use crate::rates::message::LoanRequest;
use crate::rates::message::RatesMessage;
use crate::rates::process_waiting;
use crate::rates::split::Share;
use crate::types::Incarnation;
use crate::types::MonoTime;
use crate::types::VmId;
use crate::types::WorkspaceId;

/// A peer that has not answered for longer than this is assumed to have no tokens to lend.
const ANSWER_TIMEOUT_MS: u128 = 20;

/// Less than this fraction of a peer's refill rate (1/50) is not worth a loan.
const MIN_REFILL_RATE_DIVISOR: u64 = 50;

impl Rates {
    /// Queues the loan requests that are due: renewals at fixed intervals, and requests for tokens
    /// when they are short.
    pub(crate) fn queue_due_loan_requests(&mut self, now: MonoTime) {
        if !self.may_borrow() {
            return;
        }
        let active = self.limiters.iter_mut().filter_map(|(id, limiter)| {
            let may_need_loans = limiter.may_need_loans() || !limiter.waiting.is_empty();
            may_need_loans.then(|| {
                limiter.advance(now, |peer| last_seq(&self.send_logs, peer));
                id.clone()
            })
        });
        let workspaces: Vec<WorkspaceId> = active.collect();
        let renewal = now >= self.next_renewal;
        let check_idle = now >= self.next_idle_check;
        for workspace in &workspaces {
            if renewal || check_idle && self.has_idle_borrowed_rate(now, workspace) {
                self.renew_loans(now, workspace);
            }
            self.fetch_tokens(now, workspace);
        }
        if renewal {
            self.next_renewal = now + LOAN_RENEWAL_INTERVAL;
        }
        if check_idle {
            self.next_idle_check = now + IDLE_LOAN_CHECK_INTERVAL;
        }
    }

    /// Returns whether more than half of the borrowed refill rate is no longer needed.
    fn has_idle_borrowed_rate(&mut self, now: MonoTime, workspace: &WorkspaceId) -> bool {
        let limiter = self.limiters.get_mut(workspace);
        limiter.is_some_and(|limiter| {
            limiter.refill_rate_to_borrow(now) < limiter.borrowed_refill_rate() / 2
        })
    }

    /// Queues a request to each peer that lends to this VM or from which it needs refill rate.
    fn renew_loans(&mut self, now: MonoTime, workspace: &WorkspaceId) {
        let Some(limiter) = self.limiters.get(workspace) else {
            return;
        };
        let holders = limiter.share_holders.keys();
        let former = limiter
            .lenders
            .keys()
            .filter(|peer| !limiter.share_holders.contains_key(*peer));
        let known = holders
            .chain(former)
            .filter(|vm| self.peers.contains_key(*vm));
        let peers: Vec<VmId> = known.cloned().collect();
        for peer in &peers {
            let want = self.refill_rate_to_request(now, workspace, peer);
            let limiter = self.limiters.get(workspace);
            let lender = limiter.and_then(|limiter| limiter.lenders.get(peer));
            let held = lender.is_some_and(Lender::needs_report);
            if held || want > 0 {
                self.queue_loan_request(now, workspace, peer, want, 0);
                self.return_surplus(now, workspace, peer);
            }
        }
    }

    /// Returns the refill rate to request from a peer, in millitokens a second: the demand above
    /// the VM's own rate is spread evenly over the peers that have a share.
    fn refill_rate_to_request(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceId,
        peer: &VmId,
    ) -> u64 {
        if self.lending_mode != LendingMode::TokensAndRefillRate || self.has_left {
            return 0;
        }
        let Some(limiter) = self.limiters.get_mut(workspace) else {
            return 0;
        };
        let need = limiter.refill_rate_to_borrow(now);
        let lender_count = limiter.share_holders.len().max(1) as u64;
        let limit = limiter.share_holders.get(peer);
        let limit = limit.map_or(0, |share| share.refill_rate);
        let held = limiter.lenders.get(peer).and_then(|lender| lender.loan);
        let held = held.map_or(0, |loan| loan.refill_rate);
        let borrowed = limiter.borrowed_refill_rate();
        let want = if need >= borrowed {
            held + (need - borrowed).div_ceil(lender_count)
        } else {
            held.saturating_sub((borrowed - need) / lender_count)
        };
        let want = want.min(limit);
        if want * MIN_REFILL_RATE_DIVISOR < limit {
            0
        } else {
            want
        }
    }

    /// Queues requests for the missing tokens to the peers with the most to spare.
    pub(crate) fn fetch_tokens(&mut self, now: MonoTime, workspace: &WorkspaceId) {
        let Some(limiter) = self.limiters.get_mut(workspace) else {
            return;
        };
        let mut missing = limiter.shortfall(now).div_ceil(NANOTOKENS_PER_MILLITOKEN);
        if missing == 0 || now < limiter.next_fetch {
            return;
        }
        limiter.schedule_next_fetch(now);
        let lenders = self.lenders_by_spare(now, workspace);
        let lender_count = lenders.len().max(1) as u64;
        let all_empty = lenders.iter().all(|candidate| candidate.0 == 0);
        for (spare, peer) in lenders {
            if missing == 0 {
                break;
            }
            // If no peer is known to have tokens, each is asked for an equal part.
            let part = if all_empty {
                missing.div_ceil(lender_count)
            } else {
                spare.min(missing)
            };
            if part > 0 {
                let want = self.refill_rate_to_request(now, workspace, &peer);
                self.queue_loan_request(now, workspace, &peer, want, part);
                missing = missing.saturating_sub(part * u64::from(!all_empty));
            }
        }
    }

    /// Returns the peers that have a share with the millitokens that they can probably lend, in
    /// descending order.
    fn lenders_by_spare(&self, now: MonoTime, workspace: &WorkspaceId) -> Vec<(u64, VmId)> {
        let Some(limiter) = self.limiters.get(workspace) else {
            return Vec::new();
        };
        let mut candidates = Vec::new();
        for (peer, share) in &limiter.share_holders {
            let assumed_spare = share.capacity / 2 / NANOTOKENS_PER_MILLITOKEN;
            let lender = limiter.lenders.get(peer);
            let silent = lender.and_then(|lender| lender.unanswered_since);
            let silent = silent.is_some_and(|at| now.since(at).as_millis() > ANSWER_TIMEOUT_MS);
            let spare = lender
                .and_then(|lender| lender.spare)
                .unwrap_or(assumed_spare);
            candidates.push((if silent { 0 } else { spare }, peer.clone()));
        }
        candidates.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        candidates
    }

    /// Queues a loan request to a peer, or raises the tokens of the one already queued for the
    /// workspace.
    fn queue_loan_request(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceId,
        peer: &VmId,
        want_refill_rate: u64,
        want_tokens: u64,
    ) {
        let seq = last_seq(&self.send_logs, peer);
        let Some(limiter) = self.limiters.get_mut(workspace) else {
            return;
        };
        let entries = self.outbox.entry(peer.clone()).or_default();
        if let Some(entry) = entries.iter_mut().find(|e| e.workspace == *workspace) {
            entry.want_tokens = entry.want_tokens.max(want_tokens);
            return;
        }
        let lender = limiter.lenders.entry(peer.clone()).or_default();
        if lender.must_report_release {
            lender.accepted_seq = lender.accepted_seq.max(seq);
        }
        lender.lower_refill_rate(want_refill_rate);
        let tokens = lender.loan.map_or(0, |loan| loan.tokens);
        entries.push(LoanRequest {
            workspace: workspace.clone(),
            accepted: (!lender.must_report_release).then_some(lender.accepted_seq),
            unspent: tokens.div_ceil(NANOTOKENS_PER_MILLITOKEN),
            returned: 0,
            want_refill_rate,
            want_tokens,
        });
        lender.must_report_release = false;
        lender.has_unreported_spending = false;
        lender.unanswered_since.get_or_insert(now);
    }

    /// Adds the borrowed tokens that this VM no longer needs to the queued loan request, which
    /// transfers them back to the lender.
    fn return_surplus(&mut self, now: MonoTime, workspace: &WorkspaceId, peer: &VmId) {
        let Some(limiter) = self.limiters.get_mut(workspace) else {
            return;
        };
        let surplus = limiter.surplus(now);
        let lender = limiter.lenders.get_mut(peer);
        let loan = lender.and_then(|lender| lender.loan.as_mut());
        let entries = self.outbox.get_mut(peer);
        let request =
            entries.and_then(|e| e.iter_mut().find(|request| request.workspace == *workspace));
        if let (Some(loan), Some(request)) = (loan, request) {
            let returned = loan.tokens.min(surplus) / NANOTOKENS_PER_MILLITOKEN;
            loan.tokens -= returned * NANOTOKENS_PER_MILLITOKEN;
            request.returned = returned;
            request.unspent = loan.tokens.div_ceil(NANOTOKENS_PER_MILLITOKEN);
        }
    }

    /// Queues a request to every peer, to learn from the answers how many tokens each has. A later
    /// `return_loans` distributes by these figures.
    pub(crate) fn query_spare_tokens(&mut self, now: MonoTime) {
        let workspaces: Vec<WorkspaceId> = self.limiters.keys().cloned().collect();
        for workspace in &workspaces {
            let limiter = self.limiters.get(workspace);
            let holders = limiter.map(|limiter| limiter.share_holders.keys().cloned().collect());
            let holders: Vec<VmId> = holders.unwrap_or_default();
            for peer in &holders {
                let limiter = self.limiters.get(workspace);
                let loan = limiter.and_then(|limiter| limiter.lenders.get(peer)?.loan);
                self.queue_loan_request(
                    now,
                    workspace,
                    peer,
                    loan.map_or(0, |loan| loan.refill_rate),
                    0,
                );
            }
        }
    }

    /// Queues the return of all loans, and the transfer of the VM's own tokens to the peers that have
    /// room for them.
    pub(crate) fn return_loans(&mut self, now: MonoTime) {
        let workspaces: Vec<WorkspaceId> = self.limiters.keys().cloned().collect();
        for workspace in &workspaces {
            let free_capacity_by_peer = self.free_capacity_by_peer(workspace);
            let Some(limiter) = self.limiters.get_mut(workspace) else {
                continue;
            };
            let mut own = limiter.bucket.level();
            limiter.bucket.clear();
            for (free_capacity, peer) in free_capacity_by_peer {
                let part = own.min(free_capacity);
                own -= part;
                self.return_loan(now, workspace, &peer, part);
            }
        }
    }

    /// Returns the peers with the nanotokens that they probably have room for, in descending order.
    fn free_capacity_by_peer(&self, workspace: &WorkspaceId) -> Vec<(u64, VmId)> {
        let Some(limiter) = self.limiters.get(workspace) else {
            return Vec::new();
        };
        let free_capacity = |(peer, share): (&VmId, &Share)| {
            let lender = limiter.lenders.get(peer);
            let spare = lender.and_then(|lender| lender.spare);
            let spare = spare.map_or(0, |spare| spare * NANOTOKENS_PER_MILLITOKEN);
            (share.capacity.saturating_sub(spare), peer.clone())
        };
        let holders = limiter.share_holders.iter();
        let mut free_capacity_by_peer: Vec<_> = holders.map(free_capacity).collect();
        free_capacity_by_peer.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        free_capacity_by_peer
    }

    fn return_loan(&mut self, now: MonoTime, workspace: &WorkspaceId, peer: &VmId, own: u64) {
        let seq = last_seq(&self.send_logs, peer);
        let limiter = self.limiters.get_mut(workspace);
        let lender = limiter.and_then(|limiter| limiter.lenders.get_mut(peer));
        let loan = lender.as_ref().and_then(|lender| lender.loan);
        let amount = own + loan.map_or(0, |loan| loan.tokens + loan.accrued);
        if loan.is_none() && amount < NANOTOKENS_PER_MILLITOKEN {
            return;
        }
        if let Some(lender) = lender {
            // The answer to this loan request lends nothing, so it is ignored as well.
            lender.drop_loan(seq + 1);
        }
        self.queue_loan_request(now, workspace, peer, 0, 0);
        let entries = self.outbox.get_mut(peer);
        let request =
            entries.and_then(|e| e.iter_mut().find(|request| request.workspace == *workspace));
        if let Some(request) = request {
            request.returned = amount / NANOTOKENS_PER_MILLITOKEN;
        }
    }

    /// Sends the queued loan requests, one message to a peer.
    pub(crate) fn flush(&mut self, now: MonoTime, actions: &mut Vec<RatesAction>) {
        for (to, asks) in std::mem::take(&mut self.outbox) {
            let seq = self
                .send_logs
                .entry(to.clone())
                .or_default()
                .record_send(now);
            let message = RatesMessage::Ask { seq, asks };
            actions.push(RatesAction::Send { to, message });
        }
    }

    /// Handles a message, unless this VM has no lease or the sender's incarnation is not in the
    /// roster.
    pub(crate) fn receive(
        &mut self,
        now: MonoTime,
        from: VmId,
        incarnation: Incarnation,
        message: RatesMessage,
        actions: &mut Vec<RatesAction>,
    ) {
        let peer = self.peers.get(&from);
        if self.lease_until.is_none() || peer.is_none_or(|p| p.incarnation != incarnation) {
            return;
        }
        match message {
            RatesMessage::Ask { seq, asks } => {
                let workspaces = asks.iter().map(|request| &request.workspace);
                self.advance_workspaces(now, workspaces);
                let grants: Vec<Grant> = asks
                    .iter()
                    .filter_map(|request| self.answer(now, &from, incarnation, seq, request))
                    .collect();
                if !grants.is_empty() {
                    let roster_version = self.roster_version;
                    let message = RatesMessage::Answer {
                        seq,
                        roster_version,
                        grants,
                    };
                    actions.push(RatesAction::Send { to: from, message });
                }
                let workspaces = asks.iter().map(|request| &request.workspace);
                self.continue_workspaces(now, workspaces, actions);
            }
            // The lender may have lost the slot that it lends from in a roster it does not know
            // yet.
            RatesMessage::Answer { roster_version, .. }
                if self
                    .min_answer_roster_version
                    .get(&from)
                    .is_none_or(|since| roster_version < *since) => {}
            RatesMessage::Answer { seq, grants, .. } => {
                let workspaces = grants.iter().map(|grant| &grant.workspace);
                self.advance_workspaces(now, workspaces.clone());
                for grant in &grants {
                    self.accept(now, &from, seq, grant);
                }
                self.continue_workspaces(now, workspaces, actions);
            }
        }
    }

    fn advance_workspaces<'a>(
        &mut self,
        now: MonoTime,
        workspaces: impl Iterator<Item = &'a WorkspaceId>,
    ) {
        for workspace in workspaces {
            if let Some(limiter) = self.limiters.get_mut(workspace) {
                limiter.advance(now, |peer| last_seq(&self.send_logs, peer));
            }
        }
    }

    /// Admits waiting requests of workspaces whose tokens have changed, and requests more tokens if
    /// they do not suffice.
    fn continue_workspaces<'a>(
        &mut self,
        now: MonoTime,
        workspaces: impl Iterator<Item = &'a WorkspaceId>,
        actions: &mut Vec<RatesAction>,
    ) {
        for workspace in workspaces {
            if let Some(limiter) = self.limiters.get_mut(workspace) {
                process_waiting(now, limiter, actions);
            }
            if self.may_borrow() {
                self.fetch_tokens(now, workspace);
            }
        }
    }

    fn answer(
        &mut self,
        now: MonoTime,
        from: &VmId,
        incarnation: Incarnation,
        seq: u64,
        request: &LoanRequest,
    ) -> Option<Grant> {
        let limiter = self.limiters.get_mut(&request.workspace)?;
        let own = limiter.own_reserve(now);
        let mut request = request.clone();
        if self.stopping {
            (request.want_refill_rate, request.want_tokens) = (0, 0);
        }
        let borrower = (from.clone(), incarnation);
        limiter.bucket.answer(now, borrower, seq, &request, own)
    }

    fn accept(&mut self, now: MonoTime, from: &VmId, seq: u64, grant: &Grant) {
        let sent = self
            .send_logs
            .get(from)
            .and_then(|send_log| send_log.sent_at(seq));
        let limiter = self.limiters.get_mut(&grant.workspace);
        let lender = limiter.and_then(|limiter| limiter.lenders.get_mut(from));
        let (Some(sent), Some(lender)) = (sent, lender) else {
            return;
        };
        let previous_rate = lender.loan.map_or(0, |loan| loan.refill_rate);
        if !lender.accept(now, seq, sent + BORROWER_LOAN_LIFETIME, grant) {
            return;
        }
        let recalled = grant.refill_rate < previous_rate;
        if let Some(limiter) = self.limiters.get_mut(&grant.workspace)
            && grant.tokens > 0
        {
            limiter.record_token_arrival();
        }
        // The lender can use the recalled refill rate only after this report.
        if recalled {
            self.queue_loan_request(now, &grant.workspace, from, grant.refill_rate, 0);
        }
    }
}
