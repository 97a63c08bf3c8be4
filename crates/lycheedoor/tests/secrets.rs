//! Tests that the keys, session secrets and session tokens of a whole deployment appear in nothing
//! that a VM process logs, returns to operators and callers, or sends to members.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "clippy exempts test functions but not their helpers"
)]

mod common;

use std::fs;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::KEY;
use common::query_text;
use lycheedoor_core::config::Config;
use lycheedoor_core::config::TenantKey;
use lycheedoor_core::types::Nonce;
use lycheedoor_http::Method;
use lycheedoor_http::encode_request;
use lycheedoor_platform::Client as HttpClient;
use lycheedoor_platform::MergeConflict;
use lycheedoor_platform::Publication;
use lycheedoor_platform::PublishedConfig;
use lycheedoor_platform::update_config;
use lycheedoor_standin::member::MemberOptions;
use lycheedoor_standin::member::RunningMember;
use lycheedoor_standin::platform::Server;
use postgres::Client;
use postgres::NoTls;
use postgres::SimpleQueryMessage;

const SESSION_SECRET: &str = "5ec0de115ec0de225ec0de335ec0de445ec0de555ec0de665ec0de775ec0de88";
const WRONG_KEY: &str = "wrong-key-that-nobody-may-see";
const START_TIMEOUT: Duration = Duration::from_secs(20);
const MEMBERS: [&str; 2] = ["a", "b"];

fn start_members() -> Vec<RunningMember> {
    let listeners = MEMBERS.map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let addresses: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    let all: Vec<(String, SocketAddr)> = MEMBERS
        .iter()
        .map(ToString::to_string)
        .zip(addresses)
        .collect();
    let names = MEMBERS.iter().zip(listeners);
    let start = |(name, listener): (&&str, TcpListener)| {
        let options = MemberOptions {
            name: (*name).to_owned(),
            group: "g".to_owned(),
            peers: all
                .iter()
                .filter(|peer| peer.0 != **name)
                .cloned()
                .collect(),
            primary: "a".to_owned(),
            term: 1,
            apply_delay: Duration::ZERO,
            fetch_delay: Duration::ZERO,
        };
        lycheedoor_standin::member::start(listener, options).unwrap()
    };
    names.map(start).collect()
}

fn publish_config(platform: &Server, members: &[RunningMember]) {
    let declared: Vec<String> = MEMBERS
        .iter()
        .zip(members)
        .map(|(name, member)| {
            let address = member.address();
            format!(r#""{name}": {{"address": "{address}", "data_centre": "east"}}"#)
        })
        .collect();
    let digest = String::from(TenantKey::new(KEY).digest());
    let route = |access| {
        format!(
            r#"{{"group": "g", "access": "{access}", "idempotent": false, "max_age_ms": 0,
                "open": false, "workspaces": [], "timeout_ms": 5000}}"#
        )
    };
    let config = format!(
        r#"{{"version": 0, "workspaces": {{"shop": {{"keys": ["{digest}"], "rate_per_s": 1000,
            "burst": 1000, "weight": 1}}}},
            "routes": {{"invoices": {}, "recent": {}}},
            "groups": {{"g": {{"slots": 4, "connections": 16, "members": {{{}}}}}}},
            "data_centres": {{"east": {{}}}}, "session_secrets": ["{SESSION_SECRET}"]}}"#,
        route("write"),
        route("read"),
        declared.join(", ")
    );
    let config: Config = serde_json::from_str(&config).unwrap();
    let client = HttpClient::new(platform.address(), Duration::from_secs(5));
    let publication = Publication::new(PublishedConfig::default(), config);
    update_config::<MergeConflict>(&client, Nonce(1), |current| publication.apply(current))
        .unwrap();
}

/// A VM process with settings and platform as in production, whose output goes to files.
struct DeployedVm {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
    settings: PathBuf,
    files: [PathBuf; 2],
}

fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

impl DeployedVm {
    fn start(name: &str, platform: SocketAddr) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file =
            |kind: &str| folder.join(format!("secrets-{}-{name}.{kind}", std::process::id()));
        let [settings, out, err] = ["toml", "out", "err"].map(file);
        let [callers, peers, operators] = [(); 3].map(|()| unused_address());
        let body = format!(
            "[vm]\nname = \"{name}\"\ndata_centre = \"east\"\ncell = \"one\"\n\
             [listen]\ncallers = \"{callers}\"\npeers = \"{peers}\"\noperators = \"{operators}\"\n\
             [platform]\naddress = \"{platform}\"\n[log]\nfilter = \"trace\"\n"
        );
        fs::write(&settings, body).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_lycheedoor"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::from(File::create(&out).unwrap()))
            .stderr(Stdio::from(File::create(&err).unwrap()))
            .spawn()
            .unwrap();
        Self {
            child,
            callers,
            operators,
            settings,
            files: [out, err],
        }
    }

    fn config(&self, route: &str, key: &str) -> postgres::Config {
        let mut config = postgres::Config::new();
        let builder = config.host("127.0.0.1").port(self.callers.port());
        builder.user("shop").password(key).dbname(route);
        config
    }

    /// Connects, retrying until the VM accepts callers.
    fn connect(&self, route: &str) -> Client {
        let started_at = Instant::now();
        loop {
            match self.config(route, KEY).connect(NoTls) {
                Ok(client) => return client,
                Err(error) if started_at.elapsed() > START_TIMEOUT => panic!("{error}"),
                Err(_) => thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    fn fetch_page(&self, path: &str) -> String {
        let mut request = Vec::new();
        encode_request(&mut request, Method::Get, path, "text/plain", b"");
        let client = HttpClient::new(self.operators, Duration::from_secs(5));
        let response = client.exchange(&request).unwrap();
        assert_eq!(response.status, 200, "{path}");
        String::from_utf8(response.body).unwrap()
    }

    fn output(&self) -> String {
        self.files
            .iter()
            .flat_map(|file| BufReader::new(File::open(file).unwrap()).lines())
            .map(|line| line.unwrap() + "\n")
            .collect()
    }
}

impl Drop for DeployedVm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in self.files.iter().chain([&self.settings]) {
            let _ = fs::remove_file(file);
        }
    }
}

/// Returns what must not appear anywhere: each secret in its encodings, the session token and the
/// signature of the token.
fn secret_encodings(token: &str) -> Vec<(&'static str, Vec<u8>)> {
    let digest = String::from(TenantKey::new(KEY).digest());
    let digest = digest.trim_start_matches("sha256:").to_owned();
    let raw = (0..SESSION_SECRET.len() / 2)
        .map(|at| u8::from_str_radix(&SESSION_SECRET[2 * at..2 * at + 2], 16).unwrap())
        .collect();
    let signature = token[token.len() - 40..].to_owned();
    vec![
        ("key", KEY.into()),
        ("wrong key", WRONG_KEY.into()),
        ("key digest", digest.into_bytes()),
        ("session secret", SESSION_SECRET.into()),
        ("bytes of the session secret", raw),
        ("token", token.into()),
        ("signature of the token", signature.into_bytes()),
    ]
}

fn error_text(result: Result<Client, postgres::Error>) -> String {
    let error = result.err().unwrap();
    format!("{error} {error:?}")
}

fn session_token(client: &mut Client) -> String {
    let answer = client.simple_query("SHOW lycheedoor.session").unwrap();
    let rows = answer.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    rows.last().unwrap().to_owned()
}

/// Guards against a secret in logs, status, timeline, metrics, error messages or in the bytes that
/// members receive.
#[test]
fn no_secret_leaves_the_vm() {
    let (platform, members) = (Server::start(unused_address()).unwrap(), start_members());
    publish_config(&platform, &members);
    let vms = ["vm-1", "vm-2"].map(|name| DeployedVm::start(name, platform.address()));
    let mut writer = vms[0].connect("invoices");
    assert_eq!(query_text(&mut writer, "SELECT issue('s')"), "1");
    let token = session_token(&mut writer);
    assert!(token.len() > 60, "{token:?}");
    let mut visible_text = String::new();
    drop(vms[1].connect("recent"));
    let config_with_token = |token: &str| {
        let mut config = vms[1].config("recent", KEY);
        config.options(&format!("-c lycheedoor.session={token}"));
        config
    };
    let mut reader = config_with_token(&token).connect(NoTls).unwrap();
    assert_eq!(query_text(&mut reader, "SELECT last('s')"), "1");
    // Produces errors: a token that does not verify, a wrong key, an unknown route and a statement
    // with a syntax error.
    let mut forged = config_with_token(&token[1..]).connect(NoTls).unwrap();
    assert_eq!(query_text(&mut forged, "SELECT last('s')"), "1");
    visible_text += &error_text(vms[0].config("invoices", WRONG_KEY).connect(NoTls));
    visible_text += &error_text(vms[0].config("no-such-route", KEY).connect(NoTls));
    visible_text += &format!("{:?}", writer.query("SELEKT 1", &[]).unwrap_err());
    // Waits for the observers, which report once a second.
    thread::sleep(Duration::from_millis(1_500));
    for vm in &vms {
        for path in ["/status", "/timeline?since=0", "/metrics", "/health"] {
            visible_text += &vm.fetch_page(path);
        }
        visible_text += &vm.output();
    }
    for expected in [
        "LD-I-0101",
        "LD-I-0501",
        "LD-I-0601",
        "110 token_rejected",
        "lycheedoor_statements_total{",
        "lycheedoor_statement_seconds_bucket{",
        "lycheedoor_platform_calls_total{",
        "LD001",
        "LD002",
    ] {
        assert!(
            visible_text.contains(expected),
            "{expected} is missing from the output:\n{visible_text}"
        );
    }
    for (name, bytes) in secret_encodings(&token) {
        let found = visible_text
            .as_bytes()
            .windows(bytes.len())
            .any(|part| part == bytes);
        assert!(
            !found,
            "{name} appears in the output of the VMs:\n{visible_text}"
        );
        for member in &members {
            assert!(
                !member.has_received_bytes(&bytes),
                "a member has received the {name}"
            );
        }
    }
    assert!(members[0].has_received_bytes(b"issue('s')"));
}
