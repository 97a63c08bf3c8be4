//! Runs the actors with a minimal decision logic that sends every statement to one primary, for
//! tests of the actors and the wire protocols.

use std::net::SocketAddr;
use std::net::TcpListener;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use lycheedoor::Identity;
use lycheedoor::Listeners;
use lycheedoor::Setup;
use lycheedoor::run;
use lycheedoor::single_primary::SinglePrimary;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::VmId;
use miette::IntoDiagnostic;
use miette::miette;

fn main() -> miette::Result<()> {
    let address = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .required(true)
            .value_parser(value_parser!(SocketAddr))
    };
    let matches = Command::new("lycheedoor-single-primary")
        .about("Sends every statement to one member; for tests only")
        .arg(address("listen").help("Address to listen on for callers"))
        .arg(
            address("peer-listen")
                .required(false)
                .default_value("127.0.0.1:0")
                .help("Address to listen on for other VMs"),
        )
        .arg(address("primary").help("Address of the one primary"))
        .get_matches();
    let get = |name: &str| {
        matches
            .get_one::<SocketAddr>(name)
            .copied()
            .ok_or_else(|| miette!("--{name} is missing"))
    };
    let callers = TcpListener::bind(get("listen")?).into_diagnostic()?;
    let peers = TcpListener::bind(get("peer-listen")?).into_diagnostic()?;
    let operators = TcpListener::bind("127.0.0.1:0").into_diagnostic()?;
    println!("listening on {}", callers.local_addr().into_diagnostic()?);
    let (group, member) = (GroupId::from("g"), MemberId::from("a"));
    let decision_logic = SinglePrimary::new(group, member, get("primary")?);
    let setup = Setup {
        listeners: Listeners {
            callers,
            peers,
            operators,
        },
        identity: Identity {
            vm: VmId::from("vm"),
            incarnation: Incarnation(1),
        },
        platform: None,
    };
    run(setup, Box::new(decision_logic)).into_diagnostic()
}
