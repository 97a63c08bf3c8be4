//! Load generator and end-to-end test client for lycheedoor.
//!
//! All traffic goes to the addresses given on the command line, and is bounded in count and time.
//! Only loopback addresses are accepted, because the tool is made for tests.

mod bench;
mod cli;
mod error;
mod outage;
mod process_usage;
mod session;
mod walkthrough;

use std::process::ExitCode;

use crate::cli::Command;

fn main() -> ExitCode {
    let result = cli::parse()
        .map_err(miette::Report::from)
        .and_then(|command| {
            match &command {
                Command::Bench(settings) => bench::run(settings),
                Command::Outage(settings) => outage::run(settings),
                Command::Walkthrough(settings) => walkthrough::run(settings),
            }
            .map_err(miette::Report::from)
        });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
