//! Operator command line.

mod change;
mod cli;
mod error;
mod explain;
mod fleet;
mod hash;
mod log_story;
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

/// Carries out a command and returns what to print.
fn run(matches: &ArgMatches) -> Result<String, CtlError> {
    match matches.subcommand() {
        Some(("hash-key", _)) => hash::read_key(&mut io::stdin().lock()).map(hash::show),
        Some(("status", command)) => status::run(command),
        Some(("timeline", command)) => timeline::run(command),
        Some(("explain", command)) => explain::run(command),
        Some((name, command)) => change::run(name, command),
        None => Err(CtlError::Usage("a command is missing".into())),
    }
}

/// Returns a client of the platform that the command line names.
fn client(command: &ArgMatches) -> Result<Client, CtlError> {
    let address = command
        .get_one("platform")
        .copied()
        .ok_or_else(|| CtlError::Usage("--platform is missing".into()))?;
    Ok(Client::new(address, fleet::timeout(command)))
}
