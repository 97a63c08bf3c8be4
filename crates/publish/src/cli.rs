//! The command line of `lycheedoor-publish`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// A fixed width keeps the help text the same on every terminal.
const HELP_WIDTH: usize = 100;

const AFTER_HELP: &str = "\
Examples:
  lycheedoor-publish --check services/*/lycheedoor.toml
  lycheedoor-publish --platform 10.0.0.100:8080 services/*/lycheedoor.toml

The files together declare the whole configuration: an entry that is in none of them is removed.
States of data centres and members, and keys granted or withdrawn with lycheedoor-ctl, are kept.
Concurrent changes by others are kept too; conflicting changes of the same entry are refused.

Exit codes:
  0  published, or nothing to change, or valid with --check
  1  the files cannot be read or have errors; nothing was published
  2  invalid command line
  3  refused because of another operator's change; nothing was published
  4  the platform is unavailable; nothing was published
  5  the platform did not answer; the change may or may not be in force: run the command again";

/// The values of the command line arguments.
pub(crate) struct Options {
    pub(crate) platform: Option<SocketAddr>,
    pub(crate) timeout: Duration,
    pub(crate) check: bool,
    pub(crate) expected_version: Option<u64>,
    pub(crate) files: Vec<String>,
}

impl Options {
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let timeout_ms = matches.get_one::<u64>("timeout-ms").copied();
        Self {
            platform: matches.get_one("platform").copied(),
            timeout: Duration::from_millis(timeout_ms.unwrap_or_default()),
            check: matches.get_flag("check"),
            expected_version: matches.get_one("expected-version").copied(),
            files: matches
                .get_many::<String>("files")
                .map(|files| files.cloned().collect())
                .unwrap_or_default(),
        }
    }
}

pub(crate) fn command() -> Command {
    Command::new("lycheedoor-publish")
        .about("Checks declaration files and publishes them as one configuration")
        .term_width(HELP_WIDTH)
        .after_help(AFTER_HELP)
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDR")
                .required_unless_present("check")
                .value_parser(value_parser!(SocketAddr))
                .help("IP address and port of the platform's object API"),
        )
        .arg(
            Arg::new("timeout-ms")
                .long("timeout-ms")
                .value_name("N")
                .default_value("2000")
                .value_parser(value_parser!(u64).range(1..))
                .help("Timeout of a call to the platform, in milliseconds"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only checks the files and publishes nothing"),
        )
        .arg(
            Arg::new("expected-version")
                .long("expected-version")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help("Publishes only if this version is in force, so that newer changes are kept"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .help("Declaration files of all services"),
        )
}
