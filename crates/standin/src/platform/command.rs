//! The `platform` subcommand.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use miette::IntoDiagnostic;

use crate::platform::Server;

/// Returns the definition of the `platform` subcommand.
pub fn command() -> Command {
    Command::new("platform")
        .about("Runs a stand-in platform and prints the address on which it listens")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDR")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr))
                .help("IP address and port to listen on; port 0 takes a free one"),
        )
}

/// Runs a stand-in platform until the process is stopped.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn run(matches: &ArgMatches) -> miette::Result<()> {
    let Some(&listen) = matches.get_one::<SocketAddr>("listen") else {
        return Err(miette::miette!("no address to listen on"));
    };
    let server = Server::start(listen).into_diagnostic()?;
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "listening on {}", server.address()).into_diagnostic()?;
    stdout.flush().into_diagnostic()?;
    drop(stdout);
    loop {
        thread::park();
    }
}
