//! Exchange of the primary's log position between the homes of a group.
//!
//! A read on a replica needs a recent position of the primary. The homes that run reads beside a
//! replica have no connection to the primary, and one for each of them would take the connections
//! that writes need. So they ask the home that runs the writes of the same workspace, which knows a
//! position from its own statements or takes a sample.

use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::VmId;

use crate::event::PoolAction;
use crate::message::PoolMessage;
use crate::pool::Pool;

/// How long reads wait for the answer of the other home before they go to the primary themselves.
const ANSWER_WAIT: Duration = Duration::from_millis(30);

/// Time without an answer after which another request is sent.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// Age at the time of the request up to which a known position is given as the answer. Reads accept
/// one of a second or more.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(250);

/// A request for a position that has not been answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentRequest {
    number: RequestId,
    sent_at: MonoTime,
}

/// A request of another VM that waits for a sample.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    from: VmId,
    group: GroupId,
    incarnation: Incarnation,
    number: RequestId,
    received_at: MonoTime,
}

impl Pool {
    /// Asks the home of the writes of a reading caller for a position of the primary, unless a
    /// request is being answered.
    pub(crate) fn request_position(
        &mut self,
        now: MonoTime,
        caller: CallerId,
        id: &GroupId,
        actions: &mut Vec<PoolAction>,
    ) {
        let session = self.sessions.get(&caller);
        let login = session.and_then(|session| session.login.as_ref());
        let Some(workspace) = login.map(|login| &login.workspace) else {
            return;
        };
        let request = self.groups.get(id).and_then(|group| group.position_request);
        if request.is_some_and(|request| now.since(request.sent_at) < REQUEST_TIMEOUT) {
            return;
        }
        let home = self.primary_home(now, workspace, id);
        // Builds that do not answer have records without a data centre.
        let has_data_centre = |vm: &VmId| {
            let entry = self.roster.get(vm);
            entry.is_some_and(|entry| entry.data_centre.is_some())
        };
        let Some(home) = home.filter(has_data_centre) else {
            return;
        };
        let number = self.new_request_id();
        if let Some(group) = self.groups.get_mut(id) {
            let sent_at = now;
            group.position_request = Some(SentRequest { number, sent_at });
        }
        let message = PoolMessage::AskPosition {
            group: id.clone(),
            incarnation: self.settings.incarnation,
            number,
        };
        self.send_peer(&home, message, actions);
    }

    /// Returns whether an answer with a position of the primary is likely to arrive soon.
    pub(crate) fn awaits_position(&self, now: MonoTime, group: &GroupId) -> bool {
        let request = self
            .groups
            .get(group)
            .and_then(|group| group.position_request);
        request.is_some_and(|request| now.since(request.sent_at) < ANSWER_WAIT)
    }

    /// Handles the request of another VM for a position of the primary.
    pub(crate) fn position_requested(
        &mut self,
        now: MonoTime,
        from: &VmId,
        group: GroupId,
        incarnation: Incarnation,
        number: RequestId,
        actions: &mut Vec<PoolAction>,
    ) {
        let request = ReceivedRequest {
            from: from.clone(),
            group,
            incarnation,
            number,
            received_at: now,
        };
        if !self.answer_position_request(now, &request, actions) {
            self.sample_primary(now, &request.group, actions);
            self.position_requests
                .retain(|other| (&other.from, &other.group) != (&request.from, &request.group));
            self.position_requests.push(request);
        }
    }

    /// Answers the requests for which a sample has been taken meanwhile.
    pub(crate) fn answer_position_requests(
        &mut self,
        now: MonoTime,
        actions: &mut Vec<PoolAction>,
    ) {
        for request in std::mem::take(&mut self.position_requests) {
            let is_over = now.since(request.received_at) >= REQUEST_TIMEOUT;
            if !is_over && !self.answer_position_request(now, &request, actions) {
                self.position_requests.push(request);
            }
        }
    }

    /// Answers a request if a recent position is known; returns whether it is.
    fn answer_position_request(
        &self,
        now: MonoTime,
        request: &ReceivedRequest,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let group = self.groups.get(&request.group);
        let latest = group.and_then(|group| group.latest_sample());
        let Some((sampled_at, position)) = latest
            .filter(|(sampled_at, _)| request.received_at.since(*sampled_at) <= MAX_ANSWER_AGE)
        else {
            return false;
        };
        // Rounded up, since the age must not be understated.
        let age_ms = u64::try_from(now.since(sampled_at).as_millis()).map_or(u64::MAX, |ms| ms + 1);
        let message = PoolMessage::Position {
            group: request.group.clone(),
            incarnation: request.incarnation,
            number: request.number,
            position,
            age_ms,
        };
        self.send_peer(&request.from, message, actions);
        true
    }

    /// Uses the position that another VM has sent. It was sampled at most `age_ms` before the answer
    /// was sent, which was not before the request was.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(crate) fn position_received(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        incarnation: Incarnation,
        number: RequestId,
        position: Position,
        age_ms: u64,
        actions: &mut Vec<PoolAction>,
    ) {
        let is_of_this_process = incarnation == self.settings.incarnation;
        let Some(group) = self.groups.get_mut(id).filter(|_| is_of_this_process) else {
            return;
        };
        let request = group.position_request;
        let Some(request) = request.filter(|request| request.number == number) else {
            return;
        };
        group.position_request = None;
        group.add_sample(request.sent_at - Duration::from_millis(age_ms), position);
        self.dispatch_group(now, id, actions);
    }
}
