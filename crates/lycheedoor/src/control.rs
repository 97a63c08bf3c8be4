//! Handles messages between VMs, platform calls and operator requests in the VM actor.
use std::time::Instant;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::VmId;
use lycheedoor_core::vm::PeerMessage;
use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_http::Request;
use lycheedoor_peer::Envelope;
use lycheedoor_peer::EnvelopeView;
use lycheedoor_peer::encode_message;
use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use lycheedoor_telemetry::metrics::PEER_BYTES;
use lycheedoor_telemetry::metrics::PEER_MESSAGES;
use metrics::counter;
use stakker::Actor;
use stakker::ActorOwn;
use stakker::CX;
use stakker::Ret;
use stakker::actor;
use stakker::actor_in_slab;
use stakker::call;
use stakker::ret;
use stakker::ret_nop;
use stakker_mio::mio::net::TcpStream;

use crate::operator_server::OperatorServer;
use crate::peer_link::PeerLink;
use crate::peer_server::PeerServer;
use crate::platform_link::PlatformCodec;
use crate::platform_link::PlatformLink;
use crate::vm::VmActor;

/// The largest number of connections from other VMs. A cell has at most 16 VMs, and a VM that
/// restarts leaves its former connection open for a while.
const MAX_PEER_SERVERS: usize = 128;

/// The largest number of concurrent calls to the platform; a watch occupies one connection until
/// it is answered.
const MAX_PLATFORM_LINKS: usize = 16;

/// The identity that this VM sends with each message to other VMs.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name of the VM, which it keeps when it restarts.
    pub vm: VmId,
    /// A number that differs for each start of the VM, so that others can tell its restarts apart.
    pub incarnation: Incarnation,
}

/// The address of the platform and the codec for its object API.
#[derive(Clone)]
pub struct PlatformEndpoint {
    /// The address on which the object API listens.
    pub address: SocketAddr,
    /// Encodes the requests to the object API and decodes its responses.
    pub codec: Rc<dyn PlatformCodec>,
}

struct PlatformLinkEntry {
    link: ActorOwn<PlatformLink>,
    /// The call in progress; `None` when the link is idle.
    call: Option<u64>,
}

/// The connections to other VMs and to the platform.
pub(crate) struct ControlLinks {
    identity: Identity,
    platform: Option<PlatformEndpoint>,
    peers: BTreeMap<VmId, (SocketAddr, ActorOwn<PeerLink>)>,
    platform_links: BTreeMap<u64, PlatformLinkEntry>,
    last_platform_link_id: u64,
    platform_down_since: Option<Instant>,
}

impl ControlLinks {
    pub(crate) fn new(identity: Identity, platform: Option<PlatformEndpoint>) -> Self {
        Self {
            identity,
            platform,
            peers: BTreeMap::new(),
            platform_links: BTreeMap::new(),
            last_platform_link_id: 0,
            platform_down_since: None,
        }
    }
}

impl VmActor {
    pub(crate) fn peer_accepted(&mut self, cx: CX![], stream: TcpStream) {
        if self.peer_servers.len() >= MAX_PEER_SERVERS {
            let purpose = "peers";
            emit_limited_by_cause(&events::SOCKET_LIMIT, purpose, &[purpose.into()]);
            return;
        }
        let vm = cx.this().clone();
        actor_in_slab!(self.peer_servers, cx, PeerServer::init(stream, vm));
    }

    pub(crate) fn operator_accepted(&mut self, cx: CX![], stream: TcpStream) {
        let vm = cx.this().clone();
        actor_in_slab!(self.operator_servers, cx, OperatorServer::init(stream, vm));
    }

    pub(crate) fn operator_request(&mut self, _cx: CX![], request: Request, answer: Ret<Vec<u8>>) {
        let mut response = Vec::new();
        self.decision_logic
            .answer_operator(self.now(), &request, &mut response);
        ret!([answer], response);
    }

    pub(crate) fn peer_received(&mut self, cx: CX![], envelope: Envelope) {
        counter!(PEER_MESSAGES.name, "direction" => "received").increment(1);
        let now = self.now();
        self.decision_logic.observe_timestamp(now, envelope.clock);
        self.handle_event(
            cx,
            VmEvent::PeerReceived {
                from: envelope.from,
                incarnation: envelope.incarnation,
                message: envelope.message,
            },
        );
    }

    pub(crate) fn send_peer(
        &mut self,
        cx: CX![],
        to: VmId,
        address: SocketAddr,
        message: &PeerMessage,
    ) {
        let clock = self.decision_logic.next_timestamp(self.now());
        let encoded = encode_message(&EnvelopeView {
            from: &self.control.identity.vm,
            incarnation: self.control.identity.incarnation,
            clock,
            message,
        });
        match encoded {
            Ok(bytes) => {
                let length = bytes.len() as u64;
                counter!(PEER_MESSAGES.name, "direction" => "sent").increment(1);
                counter!(PEER_BYTES.name, "direction" => "sent").increment(length);
                let link = self.peer_link(cx, to, address);
                call!([link], send(bytes));
            }
            Err(error) => {
                let detail = format!("cannot encode message to VM {to}: {error}");
                emit_limited_by_cause(
                    &events::INTERNAL_FAULT,
                    to.as_str(),
                    &[detail.as_str().into()],
                );
                call!([cx], handle_event(VmEvent::PeerUnreachable { vm: to }));
            }
        }
    }

    /// Returns the link to a VM, creating it if there is none or if the VM's address has changed.
    fn peer_link(&mut self, cx: CX![], to: VmId, address: SocketAddr) -> Actor<PeerLink> {
        if let Some((known, link)) = self.control.peers.get(&to)
            && *known == address
        {
            return Actor::clone(link);
        }
        let vm = cx.this().clone();
        let link = actor!(cx, PeerLink::init(to.clone(), address, vm), ret_nop!());
        let actor = Actor::clone(&link);
        self.control.peers.insert(to, (address, link));
        actor
    }

    pub(crate) fn call_platform(&mut self, cx: CX![], id: u64, request: PlatformRequest) {
        let Some(link) = self.idle_platform_link(cx) else {
            let answer = PlatformAnswer::Unreachable;
            call!(
                [cx],
                handle_event(VmEvent::PlatformAnswered { call: id, answer })
            );
            return;
        };
        if let Some(entry) = self.control.platform_links.get_mut(&link) {
            entry.call = Some(id);
            call!([entry.link], send(id, request));
        }
    }

    fn idle_platform_link(&mut self, cx: CX![]) -> Option<u64> {
        let endpoint = self.control.platform.clone()?;
        let links = &mut self.control.platform_links;
        if let Some((id, _)) = links.iter().find(|(_, entry)| entry.call.is_none()) {
            return Some(*id);
        }
        if links.len() >= MAX_PLATFORM_LINKS {
            return None;
        }
        self.control.last_platform_link_id += 1;
        let id = self.control.last_platform_link_id;
        let vm = cx.this().clone();
        let link = actor!(
            cx,
            PlatformLink::init(id, endpoint.address, endpoint.codec, vm),
            ret_nop!()
        );
        links.insert(id, PlatformLinkEntry { link, call: None });
        Some(id)
    }

    pub(crate) fn platform_answered(
        &mut self,
        cx: CX![],
        link: u64,
        call: u64,
        answer: PlatformAnswer,
    ) {
        if let Some(entry) = self.control.platform_links.get_mut(&link) {
            entry.call = None;
        }
        self.track_platform_outage(&answer);
        self.handle_event(cx, VmEvent::PlatformAnswered { call, answer });
    }

    /// Records when the platform stops answering, and logs the length of the outage when it answers
    /// again.
    fn track_platform_outage(&mut self, answer: &PlatformAnswer) {
        let down_since = &mut self.control.platform_down_since;
        if *answer == PlatformAnswer::Unreachable {
            down_since.get_or_insert_with(Instant::now);
        } else if let Some(since) = down_since.take() {
            let outage_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
            emit(&events::PLATFORM_BACK, &[outage_ms.into()]);
        }
    }

    /// Removes a closed link. A call that was assigned to it but not yet sent is reported as
    /// unreachable.
    pub(crate) fn platform_link_ended(&mut self, cx: CX![], link: u64) {
        let ended = self.control.platform_links.remove(&link);
        if let Some(call) = ended.and_then(|entry| entry.call) {
            let answer = PlatformAnswer::Unreachable;
            self.handle_event(cx, VmEvent::PlatformAnswered { call, answer });
        }
    }
}
