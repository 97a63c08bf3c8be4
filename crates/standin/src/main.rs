//! Runs a stand-in platform or database member until the process is stopped, or prints free ports.

use clap::Command;
use lycheedoor_standin::member;
use lycheedoor_standin::platform;
use lycheedoor_standin::ports;

fn main() -> miette::Result<()> {
    let matches = Command::new("lycheedoor-standin")
        .about("Stand-in platform and database members for tests")
        .subcommand_required(true)
        .subcommand(platform::command())
        .subcommand(member::command())
        .subcommand(ports::command())
        .get_matches();
    match matches.subcommand() {
        Some(("platform", matches)) => platform::run(matches),
        Some(("member", matches)) => member::run(matches),
        Some(("ports", matches)) => ports::run(matches),
        _ => Ok(()),
    }
}
