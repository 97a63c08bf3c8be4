//! Starts a VM process in front of stand-in members, on ports that the system assigns.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    dead_code,
    reason = "clippy exempts test functions but not their helpers; not every test uses all of them"
)]

pub(crate) mod raw;

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use lycheedoor_standin::member::MemberOptions;
use lycheedoor_standin::member::RunningMember;
use lycheedoor_standin::member::start;
use postgres::Client;
use postgres::NoTls;

pub(crate) const KEY: &str = "key-that-no-target-may-see";

/// Starts a member that is the primary and only member of its group.
pub(crate) fn start_primary() -> RunningMember {
    let options = MemberOptions {
        name: "a".to_owned(),
        group: "g".to_owned(),
        peers: Vec::new(),
        primary: "a".to_owned(),
        term: 1,
        apply_delay: Duration::ZERO,
        fetch_delay: Duration::ZERO,
    };
    start(TcpListener::bind("127.0.0.1:0").unwrap(), options).unwrap()
}

/// A running VM process, which is killed when the value is dropped.
pub(crate) struct VmProcess {
    pub(crate) child: Child,
    pub(crate) address: SocketAddr,
}

impl VmProcess {
    pub(crate) fn start(primary: SocketAddr) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lycheedoor-single-primary"))
            .args(["--listen", "127.0.0.1:0", "--primary", &primary.to_string()])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening on ").unwrap();
        let address = address.parse().unwrap();
        Self { child, address }
    }

    pub(crate) fn config(&self) -> postgres::Config {
        let mut config = postgres::Config::new();
        config
            .host("127.0.0.1")
            .port(self.address.port())
            .user("shop")
            .password(KEY)
            .dbname("invoices");
        config
    }

    pub(crate) fn connect(&self) -> Client {
        self.config().connect(NoTls).unwrap()
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a query that returns one row and returns the text in its first column.
pub(crate) fn query_text(client: &mut Client, query: &str) -> String {
    client.query_one(query, &[]).unwrap().get(0)
}
