//! Asking peers for tokens and accrual, and answering them.

use crate::rates::BORROWER_LIFE;
use crate::rates::Lending;
use crate::rates::NANOS_PER_MILLITOKEN;
use crate::rates::RENEWAL;
use crate::rates::REVIEW;
use crate::rates::Rates;
use crate::rates::RatesAction;
use crate::rates::account::Account;
use crate::rates::last_seq;
use crate::rates::message::Ask;
use crate::rates::message::Grant;
use crate::rates::message::RatesMessage;
use crate::types::Incarnation;
use crate::types::MonoTime;
use crate::types::RosterPeer;
use crate::types::VmId;
use crate::types::WorkspaceId;

/// An answer later than this counts as lost when peers are chosen.
const ANSWER_TIMEOUT_MS: u128 = 20;

/// A wish for less than this part of a peer's accrual is not worth a loan.
const MIN_STREAM_PART: u64 = 50;

impl Rates {
    /// Writes the asks that are due: renewals at fixed intervals, tokens when they are short.
    pub(crate) fn ask_peers(&mut self, now: MonoTime) {
        if !self.may_borrow() {
            return;
        }
        let workspaces: Vec<WorkspaceId> = self.accounts.keys().cloned().collect();
        let renewal = now >= self.next_renewal;
        let review = now >= self.next_review;
        for workspace in &workspaces {
            if renewal || review && self.has_idle_streams(now, workspace) {
                self.renew(now, workspace);
            }
            self.fetch_tokens(now, workspace);
        }
        if renewal {
            self.next_renewal = now + RENEWAL;
        }
        if review {
            self.next_review = now + REVIEW;
        }
    }

    /// Returns whether most of the borrowed accrual is not needed any more.
    fn has_idle_streams(&mut self, now: MonoTime, workspace: &WorkspaceId) -> bool {
        let account = self.accounts.get_mut(workspace);
        account.is_some_and(|account| account.missing_stream(now) < account.borrowed_stream() / 2)
    }

    /// Asks all peers that lend, or should lend, a part of their accrual.
    fn renew(&mut self, now: MonoTime, workspace: &WorkspaceId) {
        let peers: Vec<VmId> = self.peers.keys().cloned().collect();
        for peer in &peers {
            let want = self.wanted_stream(now, workspace, peer);
            let account = self.accounts.get(workspace);
            let source = account.and_then(|account| account.sources.get(peer));
            let held = source.is_some_and(|s| s.in_use() || s.release || s.unreported);
            if held || want > 0 {
                self.push_ask(now, workspace, peer, want, 0);
                self.return_surplus(now, workspace, peer);
            }
        }
    }

    /// Returns the accrual that this VM wants of a peer: the demand above its own part is spread
    /// evenly over the peers that have a share.
    fn wanted_stream(&mut self, now: MonoTime, workspace: &WorkspaceId, peer: &VmId) -> u64 {
        if self.lending != Lending::TokensAndStreams || self.left {
            return 0;
        }
        let Some(account) = self.accounts.get_mut(workspace) else {
            return 0;
        };
        let need = account.missing_stream(now);
        let share = |account: &Account, slots: &[u16]| account.split.sum(slots.iter().copied());
        let lenders = self.peers.values();
        let lenders = lenders.filter(|p| share(account, &p.slots).stream > 0);
        let lenders = lenders.count().max(1) as u64;
        let limit = self.peers.get(peer);
        let limit = limit.map_or(0, |peer| share(account, &peer.slots).stream);
        let held = account.sources.get(peer).and_then(|source| source.loan);
        let held = held.map_or(0, |loan| loan.stream);
        let borrowed = account.borrowed_stream();
        let want = if need >= borrowed {
            held + (need - borrowed).div_ceil(lenders)
        } else {
            held.saturating_sub((borrowed - need) / lenders)
        };
        let want = want.min(limit);
        if want * MIN_STREAM_PART < limit {
            0
        } else {
            want
        }
    }

    /// Asks the peers that have the most to spare for the tokens that are missing.
    pub(crate) fn fetch_tokens(&mut self, now: MonoTime, workspace: &WorkspaceId) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        let mut missing = account.shortfall(now).div_ceil(NANOS_PER_MILLITOKEN);
        if missing == 0 || now < account.next_ask {
            return;
        }
        account.pause_asks(now);
        let all_empty = self
            .lenders(now, workspace)
            .iter()
            .all(|lender| lender.0 == 0);
        for (spare, peer) in self.lenders(now, workspace) {
            if missing == 0 {
                break;
            }
            // Without a peer that is known to have tokens, each is asked for an equal part.
            let part = if all_empty {
                missing.div_ceil(self.peers.len().max(1) as u64)
            } else {
                spare.min(missing)
            };
            if part > 0 {
                let want = self.wanted_stream(now, workspace, &peer);
                self.push_ask(now, workspace, &peer, want, part);
                missing = missing.saturating_sub(part * u64::from(!all_empty));
            }
        }
    }

    /// Lists the peers that have a share with the millitokens that they can probably lend, the
    /// richest first.
    fn lenders(&self, now: MonoTime, workspace: &WorkspaceId) -> Vec<(u64, VmId)> {
        let Some(account) = self.accounts.get(workspace) else {
            return Vec::new();
        };
        let mut lenders = Vec::new();
        for peer in self.peers.values() {
            let share = account.split.sum(peer.slots.iter().copied());
            if share.capacity == 0 {
                continue;
            }
            let unknown = share.capacity / 2 / NANOS_PER_MILLITOKEN;
            let source = account.sources.get(&peer.vm);
            let silent = source.and_then(|source| source.unanswered_since);
            let silent = silent.is_some_and(|at| now.since(at).as_millis() > ANSWER_TIMEOUT_MS);
            let spare = source.and_then(|source| source.spare).unwrap_or(unknown);
            lenders.push((if silent { 0 } else { spare }, peer.vm.clone()));
        }
        lenders.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        lenders
    }

    fn push_ask(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceId,
        peer: &VmId,
        want_stream: u64,
        want_tokens: u64,
    ) {
        let seq = last_seq(&self.links, peer);
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        let entries = self.outbox.entry(peer.clone()).or_default();
        if let Some(entry) = entries.iter_mut().find(|e| e.workspace == *workspace) {
            entry.want_tokens = entry.want_tokens.max(want_tokens);
            return;
        }
        let source = account.sources.entry(peer.clone()).or_default();
        if source.release {
            source.accepted = source.accepted.max(seq);
        }
        source.lower_stream(want_stream);
        let tokens = source.loan.map_or(0, |loan| loan.tokens);
        entries.push(Ask {
            workspace: workspace.clone(),
            accepted: (!source.release).then_some(source.accepted),
            unspent: tokens.div_ceil(NANOS_PER_MILLITOKEN),
            returned: 0,
            want_stream,
            want_tokens,
        });
        source.release = false;
        source.unreported = false;
        source.unanswered_since.get_or_insert(now);
    }

    /// Adds to an ask the lent tokens that this VM does not need any more.
    fn return_surplus(&mut self, now: MonoTime, workspace: &WorkspaceId, peer: &VmId) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        let surplus = account.surplus(now);
        let source = account.sources.get_mut(peer);
        let loan = source.and_then(|source| source.loan.as_mut());
        let entries = self.outbox.get_mut(peer);
        let ask = entries.and_then(|e| e.iter_mut().find(|ask| ask.workspace == *workspace));
        if let (Some(loan), Some(ask)) = (loan, ask) {
            let returned = loan.tokens.min(surplus) / NANOS_PER_MILLITOKEN;
            loan.tokens -= returned * NANOS_PER_MILLITOKEN;
            ask.returned = returned;
            ask.unspent = loan.tokens.div_ceil(NANOS_PER_MILLITOKEN);
        }
    }

    /// Asks all peers how many tokens they have, for `return_loans`.
    pub(crate) fn ask_for_spare(&mut self, now: MonoTime) {
        let workspaces: Vec<WorkspaceId> = self.accounts.keys().cloned().collect();
        let peers: Vec<VmId> = self.peers.keys().cloned().collect();
        for workspace in &workspaces {
            for peer in &peers {
                let account = self.accounts.get(workspace);
                let loan = account.and_then(|a| a.sources.get(peer)?.loan);
                self.push_ask(now, workspace, peer, loan.map_or(0, |loan| loan.stream), 0);
            }
        }
    }

    /// Gives all loans back, and the VM's own tokens to the peers that have room for them.
    pub(crate) fn return_loans(&mut self, now: MonoTime) {
        let workspaces: Vec<WorkspaceId> = self.accounts.keys().cloned().collect();
        for workspace in &workspaces {
            let rooms = self.rooms(workspace);
            let Some(account) = self.accounts.get_mut(workspace) else {
                continue;
            };
            let mut own = account.home.level();
            account.home.clear();
            for (room, peer) in rooms {
                let part = own.min(room);
                own -= part;
                self.return_loan(now, workspace, &peer, part);
            }
        }
    }

    /// Lists the peers with the nanotokens that they probably have room for, the emptiest first.
    fn rooms(&self, workspace: &WorkspaceId) -> Vec<(u64, VmId)> {
        let Some(account) = self.accounts.get(workspace) else {
            return Vec::new();
        };
        let room = |peer: &RosterPeer| {
            let capacity = account.split.sum(peer.slots.iter().copied()).capacity;
            let spare = account
                .sources
                .get(&peer.vm)
                .and_then(|source| source.spare);
            let spare = spare.map_or(0, |spare| spare * NANOS_PER_MILLITOKEN);
            (capacity.saturating_sub(spare), peer.vm.clone())
        };
        let mut rooms: Vec<_> = self.peers.values().map(room).collect();
        rooms.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        rooms
    }

    fn return_loan(&mut self, now: MonoTime, workspace: &WorkspaceId, peer: &VmId, own: u64) {
        let seq = last_seq(&self.links, peer);
        let account = self.accounts.get_mut(workspace);
        let source = account.and_then(|a| a.sources.get_mut(peer));
        let loan = source.as_ref().and_then(|source| source.loan);
        let amount = own + loan.map_or(0, |loan| loan.tokens + loan.accrued);
        if loan.is_none() && amount < NANOS_PER_MILLITOKEN {
            return;
        }
        if let Some(source) = source {
            // The answer to this very ask lends nothing, so it need not be accepted either.
            source.give_up(seq + 1);
        }
        self.push_ask(now, workspace, peer, 0, 0);
        let entries = self.outbox.get_mut(peer);
        let ask = entries.and_then(|e| e.iter_mut().find(|ask| ask.workspace == *workspace));
        if let Some(ask) = ask {
            ask.returned = amount / NANOS_PER_MILLITOKEN;
        }
    }

    /// Sends what has been written, one message to a peer.
    pub(crate) fn flush(&mut self, now: MonoTime, actions: &mut Vec<RatesAction>) {
        for (to, asks) in std::mem::take(&mut self.outbox) {
            let seq = self.links.entry(to.clone()).or_default().record(now);
            let message = RatesMessage::Ask { seq, asks };
            actions.push(RatesAction::Send { to, message });
        }
    }

    /// Takes a message of a peer that is in the roster.
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
                let grants: Vec<Grant> = asks
                    .iter()
                    .filter_map(|ask| self.answer(now, &from, incarnation, seq, ask))
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
            }
            // A lender with an older roster may have lost the slot that it lends from.
            RatesMessage::Answer { roster_version, .. }
                if self
                    .lender_since
                    .get(&from)
                    .is_none_or(|since| roster_version < *since) => {}
            RatesMessage::Answer { seq, grants, .. } => {
                for grant in &grants {
                    self.accept(now, &from, seq, grant);
                }
            }
        }
    }

    fn answer(
        &mut self,
        now: MonoTime,
        from: &VmId,
        incarnation: Incarnation,
        seq: u64,
        ask: &Ask,
    ) -> Option<Grant> {
        let account = self.accounts.get_mut(&ask.workspace)?;
        let own = account.own_need(now);
        let mut ask = ask.clone();
        if self.stopping {
            (ask.want_stream, ask.want_tokens) = (0, 0);
        }
        let borrower = (from.clone(), incarnation);
        account.home.answer(now, borrower, seq, &ask, own)
    }

    fn accept(&mut self, now: MonoTime, from: &VmId, seq: u64, grant: &Grant) {
        let sent = self.links.get(from).and_then(|link| link.sent_at(seq));
        let account = self.accounts.get_mut(&grant.workspace);
        let source = account.and_then(|account| account.sources.get_mut(from));
        let (Some(sent), Some(source)) = (sent, source) else {
            return;
        };
        let before = source.loan.map_or(0, |loan| loan.stream);
        if !source.accept(now, seq, sent + BORROWER_LIFE, grant) {
            return;
        }
        let called_in = grant.stream < before;
        if let Some(account) = self.accounts.get_mut(&grant.workspace)
            && grant.tokens > 0
        {
            account.tokens_arrived();
        }
        // The lender can use what it has called in only after this report.
        if called_in {
            self.push_ask(now, &grant.workspace, from, grant.stream, 0);
        }
    }
}
