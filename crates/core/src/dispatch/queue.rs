//! Queued requests of one member, by workspace.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::dispatch::DispatchAction;
use crate::dispatch::MAX_QUEUED_REQUESTS;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::WorkspaceId;

/// Bounded queues of requests with deadlines. A queued request has never been dispatched.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestQueues {
    by_workspace: BTreeMap<WorkspaceId, VecDeque<RequestId>>,
    requests: BTreeMap<RequestId, (WorkspaceId, MonoTime)>,
    deadlines: BTreeSet<(MonoTime, RequestId)>,
}

impl RequestQueues {
    /// Appends a request to the queue of its workspace, or returns why it is refused.
    pub(crate) fn push(
        &mut self,
        now: MonoTime,
        request: RequestId,
        workspace: WorkspaceId,
        deadline: MonoTime,
    ) -> Result<(), Reason> {
        if deadline <= now {
            return Err(Reason::DeadlineInQueue);
        }
        let queue = self.by_workspace.entry(workspace.clone()).or_default();
        if queue.len() >= MAX_QUEUED_REQUESTS {
            return Err(Reason::QueueFull);
        }
        queue.push_back(request);
        self.requests.insert(request, (workspace, deadline));
        self.deadlines.insert((deadline, request));
        Ok(())
    }

    /// Removes a request from its queue, and returns whether it was there.
    pub(crate) fn remove(&mut self, request: RequestId) -> bool {
        let Some((workspace, deadline)) = self.requests.remove(&request) else {
            return false;
        };
        self.deadlines.remove(&(deadline, request));
        if let Some(queue) = self.by_workspace.get_mut(&workspace) {
            // The common case is the first request, which is removed without a scan.
            match queue.front() == Some(&request) {
                true => drop(queue.pop_front()),
                false => queue.retain(|queued| *queued != request),
            }
            if queue.is_empty() {
                self.by_workspace.remove(&workspace);
            }
        }
        true
    }

    /// Removes and returns the first request of a workspace.
    pub(crate) fn pop(&mut self, workspace: &WorkspaceId) -> Option<RequestId> {
        let request = self.by_workspace.get(workspace)?.front().copied()?;
        self.remove(request);
        Some(request)
    }

    /// Refuses the requests whose deadline has passed.
    pub(crate) fn refuse_expired(&mut self, now: MonoTime, actions: &mut Vec<DispatchAction>) {
        while let Some((deadline, request)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.remove(request);
            let reason = Reason::DeadlineInQueue;
            actions.push(DispatchAction::Refuse { request, reason });
        }
    }

    /// Empties the queues and refuses their requests.
    pub(crate) fn refuse_all(&mut self, reason: Reason, actions: &mut Vec<DispatchAction>) {
        let requests = std::mem::take(self).requests.into_keys();
        actions.extend(requests.map(|request| DispatchAction::Refuse { request, reason }));
    }

    /// Returns the number of queued requests over all workspaces.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns whether a workspace has queued requests.
    pub(crate) fn has_waiting(&self, workspace: &WorkspaceId) -> bool {
        self.by_workspace.contains_key(workspace)
    }

    /// Returns each workspace with queued requests, and their number.
    pub(crate) fn waiting_counts(&self) -> impl Iterator<Item = (&WorkspaceId, usize)> {
        let queues = self.by_workspace.iter();
        queues.map(|(workspace, queue)| (workspace, queue.len()))
    }

    /// Returns the workspace whose first request is the oldest.
    pub(crate) fn oldest_workspace(&self) -> Option<&WorkspaceId> {
        let queues = self.by_workspace.iter();
        let oldest = queues.min_by_key(|(_, queue)| queue.front());
        oldest.map(|(workspace, _)| workspace)
    }

    /// Returns the earliest deadline of the queued requests.
    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.deadlines.first().map(|entry| entry.0)
    }
}
