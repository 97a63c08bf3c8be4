//! Shows the state of the fleet to operators and changes the configuration for them.

mod change;
mod cli;
mod error;
mod explain;
mod explain_log;
mod fleet;
mod hash;
mod status;
mod table;
mod timeline;

use std::io;
use std::process::ExitCode;

use clap::ArgMatches;
use lycheedoor_platform::Client;

use crate::error::CtlError;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match run(&matches) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("lycheedoor-ctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs a command and returns its output.
fn run(matches: &ArgMatches) -> Result<String, CtlError> {
    match matches.subcommand() {
        Some(("hash-key", _)) => hash::read_key(&mut io::stdin().lock()).map(hash::render),
        Some(("status", command)) => status::run(command),
        Some(("timeline", command)) => timeline::run(command),
        Some(("explain", command)) => explain::run(command),
        Some((name, command)) => change::run(name, command),
        None => Err(CtlError::Usage("a command is missing".into())),
    }
}

/// Returns a client for the platform named on the command line.
fn client(command: &ArgMatches) -> Result<Client, CtlError> {
    let address = command
        .get_one("platform")
        .copied()
        .ok_or_else(|| CtlError::Usage("--platform is missing".into()))?;
    Ok(Client::new(address, fleet::timeout(command)))
}
