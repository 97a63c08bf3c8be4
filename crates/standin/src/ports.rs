//! The `ports` subcommand, which finds free ports for a test deployment.
//!
//! Settings of members and VMs contain each other's addresses, so the ports have to be known before
//! the processes start.

use std::net::Ipv4Addr;
use std::net::TcpListener;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use miette::IntoDiagnostic;

/// How many ports one invocation may request.
const MAX_PORTS: u16 = 200;

/// Returns the definition of the `ports` subcommand.
pub fn command() -> Command {
    Command::new("ports")
        .about("Prints free loopback ports, one a line")
        .arg(
            Arg::new("count")
                .required(true)
                .value_parser(value_parser!(u16).range(1..=i64::from(MAX_PORTS)))
                .help("How many ports to print"),
        )
}

/// Prints free ports. All stay bound until the last one is found, so that none is printed twice.
///
/// # Errors
///
/// Returns an error if the system has no free port.
pub fn run(matches: &ArgMatches) -> miette::Result<()> {
    let count = matches.get_one::<u16>("count").copied().unwrap_or(1);
    let listeners = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<Vec<_>, _>>()
        .into_diagnostic()?;
    for listener in &listeners {
        println!("{}", listener.local_addr().into_diagnostic()?.port());
    }
    Ok(())
}
