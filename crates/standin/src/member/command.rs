//! The `member` subcommand.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use miette::IntoDiagnostic;
use miette::miette;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::member::MemberOptions;
use crate::member::start;

/// Returns the definition of the `member` subcommand.
pub fn command() -> Command {
    let text = |name: &'static str| Arg::new(name).long(name).required(true);
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(default)
    };
    Command::new("member")
        .about("Runs a stand-in database member")
        .arg(text("name").help("Name of the member"))
        .arg(text("group").help("Name of the group"))
        .arg(text("primary").help("Member that is primary at the start"))
        .arg(
            text("listen")
                .value_parser(value_parser!(SocketAddr))
                .help("Address to listen on"),
        )
        .arg(
            Arg::new("peers")
                .long("peers")
                .value_delimiter(',')
                .value_parser(parse_peer)
                .help("Other members, as NAME=ADDRESS"),
        )
        .arg(number("term", "1").help("Term at the start"))
        .arg(number("apply-delay-ms", "0").help("Time from receipt to visibility on a replica"))
        .arg(number("fetch-delay-ms", "0").help("Time between two fetches of a replica"))
}

/// Runs a member until SIGTERM or SIGINT arrives.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the member's threads cannot be started.
pub fn run(matches: &ArgMatches) -> miette::Result<()> {
    let listen = matches
        .get_one::<SocketAddr>("listen")
        .ok_or_else(|| miette!("--listen is missing"))?;
    let listener = TcpListener::bind(listen).into_diagnostic()?;
    let running = start(listener, options(matches)).into_diagnostic()?;
    println!("listening on {}", running.address());
    let mut signals = Signals::new([SIGTERM, SIGINT]).into_diagnostic()?;
    signals.forever().next();
    running.stop();
    Ok(())
}

fn options(matches: &ArgMatches) -> MemberOptions {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    MemberOptions {
        name: text("name"),
        group: text("group"),
        peers: matches
            .get_many::<(String, SocketAddr)>("peers")
            .map(|peers| peers.cloned().collect())
            .unwrap_or_default(),
        primary: text("primary"),
        term: number("term"),
        apply_delay: Duration::from_millis(number("apply-delay-ms")),
        fetch_delay: Duration::from_millis(number("fetch-delay-ms")),
    }
}

fn parse_peer(text: &str) -> Result<(String, SocketAddr), String> {
    let (name, address) = text
        .split_once('=')
        .ok_or("a peer has the form NAME=ADDRESS")?;
    let address = address
        .parse()
        .map_err(|_| format!("{address:?} is not an address"))?;
    Ok((name.to_owned(), address))
}
