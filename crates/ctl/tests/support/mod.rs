//! A stand-in for the operator endpoint of a VM, and a fleet of such VMs with a stand-in platform.

#![allow(
    clippy::unwrap_used,
    reason = "clippy.toml allows it only inside test functions"
)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use lycheedoor_core::config::Config;
use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::timeline::EventCode;
use lycheedoor_core::timeline::Export;
use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::timeline::Process;
use lycheedoor_core::timeline::Record;
use lycheedoor_core::timeline::Subject;
use lycheedoor_core::timeline::WallTime;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::Nonce;
use lycheedoor_core::types::Term;
use lycheedoor_http::RequestDecoder;
use lycheedoor_operator::*;
use lycheedoor_platform::Client;
use lycheedoor_platform::MergeConflict;
use lycheedoor_platform::Publication;
use lycheedoor_platform::PublishedConfig;
use lycheedoor_platform::VmListing;
use lycheedoor_platform::VmState;
use lycheedoor_platform::update_config;
use lycheedoor_standin::platform::Server;

pub(crate) const KEY: &str = "sample-tenant-key-4711";
pub(crate) const SECRET: &str = "c0ffee11c0ffee22c0ffee33c0ffee44c0ffee55c0ffee66c0ffee77c0ffee88";

const CONFIG: &str = r#"{
    "version": 0,
    "workspaces": {"acme": {"keys": [], "rate_per_s": 5, "burst": 9, "weight": 1}},
    "routes": {},
    "groups": {"invoices": {"slots": 3, "connections": 20, "members": {
        "invoices-1": {"address": "10.0.1.1:5432", "data_centre": "east"},
        "invoices-2": {"address": "10.0.2.1:5432", "data_centre": "west"}}}},
    "data_centres": {"east": {}, "west": {}},
    "session_secrets": ["SECRET"]
}"#;

/// A stand-in platform with a configuration, and the VMs that it lists.
pub(crate) struct Fleet {
    pub(crate) server: Server,
    pub(crate) client: Client,
}

/// A stand-in VM that serves a fixed status and timeline.
#[derive(Clone)]
pub(crate) struct FakeVm {
    pub(crate) status: Status,
    pub(crate) records: Vec<Record>,
}

impl OperatorView for FakeVm {
    fn status(&self) -> Status {
        self.status.clone()
    }

    /// Returns pages of two records, so that the client has to request several.
    fn timeline(&self, since: u64, limit: usize) -> Export {
        let later = self
            .records
            .iter()
            .filter(|record| record.sequence >= since);
        let records: Vec<_> = later.take(limit.min(2)).cloned().collect();
        Export {
            process: Process {
                vm: self.status.vm.clone(),
                incarnation: self.status.incarnation,
                data_centre: self.status.data_centre.clone(),
            },
            from_sequence: since,
            next_sequence: records.last().map_or(since, |record| record.sequence + 1),
            taken_at: HybridTime::default(),
            reached: true,
            records,
        }
    }

    fn metrics(&self) -> String {
        String::new()
    }
}

impl FakeVm {
    pub(crate) fn start(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let mut decoder = RequestDecoder::default();
                let mut buffer = [0; 1024];
                let request = loop {
                    let count = stream.read(&mut buffer).unwrap();
                    decoder.extend(&buffer[..count]);
                    if let Some(request) = decoder.next_request().unwrap() {
                        break request;
                    }
                };
                let mut out = Vec::new();
                handle_request(&request, &self, &mut out);
                stream.write_all(&out).unwrap();
            }
        });
        address
    }
}

impl Fleet {
    /// Starts a platform and publishes a configuration.
    pub(crate) fn start() -> Self {
        let server = Server::start("127.0.0.1:0".parse().unwrap()).unwrap();
        let client = Client::new(server.address(), Duration::from_secs(5));
        let config: Config = serde_json::from_str(&CONFIG.replace("SECRET", SECRET)).unwrap();
        let publication = Publication::new(PublishedConfig::default(), config);
        update_config::<MergeConflict>(&client, Nonce(1), |current| publication.apply(current))
            .unwrap();
        Self { server, client }
    }

    /// Starts the VMs and lists them on the platform, with another one that does not answer.
    pub(crate) fn with_vms(vms: Vec<FakeVm>) -> Self {
        let fleet = Self::start();
        let mut listings: Vec<_> = vms
            .into_iter()
            .map(|vm| listing(vm.status.vm.clone().as_str(), vm.start()))
            .collect();
        // Port 1 of the loopback interface refuses connections.
        listings.push(listing("vm-9", "127.0.0.1:1".parse().unwrap()));
        fleet.server.set_vms(listings);
        fleet
    }

    /// Runs a command and returns its exit code and all output.
    pub(crate) fn run(&self, arguments: &[&str], input: &str) -> String {
        let address = self.server.address().to_string();
        run(
            &[arguments, &["--platform", &address, "--timeout-ms", "5000"]].concat(),
            input,
        )
    }
}

fn listing(vm: &str, operator_address: SocketAddr) -> VmListing {
    VmListing {
        vm: vm.into(),
        data_centre: "east".into(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        operator_address,
        state: VmState::Live,
    }
}

/// Runs the command line, checks that no key or secret appears, and returns all output.
pub(crate) fn run(arguments: &[&str], input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lycheedoor-ctl"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A command that does not read its input may end before the write.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let text = text(&child.wait_with_output().unwrap());
    assert!(!text.contains(KEY) && !text.contains(SECRET), "{text}");
    text
}

fn text(output: &Output) -> String {
    format!(
        "exit code {:?}\n{}{}",
        output.status.code(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

pub(crate) fn status(vm: &str, term: u64, config_version: u64) -> Status {
    let member = |name: &str, data_centre: &str, lag_ms| MemberStatus {
        member: name.into(),
        data_centre: data_centre.into(),
        availability: MemberAvailability::Active,
        answers: lag_ms != Some(900),
        lag_ms,
        connections: 2,
    };
    Status {
        vm: vm.into(),
        incarnation: Incarnation(1),
        data_centre: "east".into(),
        phase: Phase::Serving,
        config_version,
        roster_version: 4,
        slots: vec![0, 1, 2, 3],
        lease_remaining_ms: 250,
        platform_serves: true,
        callers: 17,
        groups: vec![GroupStatus {
            group: "invoices".into(),
            term: Term(term),
            primary: Some("invoices-1".into()),
            promotion_in_progress: false,
            members: vec![
                member("invoices-1", "east", None),
                member("invoices-2", "west", Some(term * 300)),
            ],
        }],
        data_centres: vec![DataCentreStatus {
            data_centre: "east".into(),
            state: DataCentreState::In,
        }],
        workspaces: vec![WorkspaceStatus {
            workspace: "acme".into(),
            admitted: 100 * term,
            refused: 1,
            unknown: 0,
            queued: 2,
        }],
    }
}

/// Returns a record with a time of `after_us` microseconds after a fixed one.
pub(crate) fn record(sequence: u64, after_us: u64, code: EventCode, subject: Subject) -> Record {
    let physical = WallTime(1_700_000_000_000_000 + after_us);
    let time = HybridTime {
        physical,
        logical: 0,
    };
    Record {
        sequence,
        time,
        code,
        subject,
    }
}
