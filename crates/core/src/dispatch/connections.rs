//! Opening and closing of connections, and members that take no new requests.

use std::collections::BTreeMap;

use crate::config::Config;
use crate::config::DataCentreState;
use crate::config::Group;
use crate::config::Member;
use crate::config::MemberAvailability;
use crate::dispatch::CONNECTION_IDLE_TIMEOUT;
use crate::dispatch::DispatchAction;
use crate::dispatch::local_member::ConnectionState;
use crate::dispatch::local_member::LocalMember;
use crate::types::ConnectionId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Reason;

/// Returns why a member takes no new requests, or `None` if it takes them.
pub(crate) fn find_refusal_reason(config: &Config, member: &Member) -> Option<Reason> {
    let centre = config.data_centres.get(&member.data_centre);
    if centre.is_some_and(|centre| centre.state == DataCentreState::Out) {
        Some(Reason::DataCentreOut)
    } else if member.availability == MemberAvailability::Leaving {
        Some(Reason::TargetLeaving)
    } else {
        None
    }
}

pub(crate) fn find_group<'a>(config: &'a Config, member: &MemberId) -> Option<&'a Group> {
    let mut groups = config.groups.values();
    groups.find(|group| group.members.contains_key(member))
}

pub(crate) fn close_idle_connections(
    now: MonoTime,
    local: &mut LocalMember,
    actions: &mut Vec<DispatchAction>,
) {
    let idle = local.connections.iter().filter(|(_, state)| match state {
        ConnectionState::Idle(since) => now.since(*since) >= CONNECTION_IDLE_TIMEOUT,
        _ => false,
    });
    let idle: Vec<ConnectionId> = idle.map(|(id, _)| *id).collect();
    for connection in idle {
        local.close(now, connection, Reason::Idle, actions);
    }
}

/// Opens connections for queued requests without waiting for their permits.
pub(crate) fn open_connections(
    now: MonoTime,
    member: &MemberId,
    local: &mut LocalMember,
    next_connection: &mut u64,
    connection_members: &mut BTreeMap<ConnectionId, MemberId>,
    actions: &mut Vec<DispatchAction>,
) {
    if local.refusal_reason.is_some() || now < local.reopen_at {
        return;
    }
    while local.ready_count() < local.queues.len()
        && local.connection_count() < local.connection_limit
    {
        *next_connection += 1;
        let connection = ConnectionId(*next_connection);
        local
            .connections
            .insert(connection, ConnectionState::Opening);
        connection_members.insert(connection, member.clone());
        actions.push(DispatchAction::OpenConnection {
            connection,
            group: local.group.clone(),
            member: member.clone(),
        });
    }
}
