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
  lycheedoor-publish check --platform 10.0.0.100:8080 services/*/lycheedoor.toml
  lycheedoor-publish --platform 10.0.0.100:8080 services/*/lycheedoor.toml

The files together declare the whole configuration: an entry that is in none of them is removed.
States of data centres and members, and keys granted or withdrawn with lycheedoor-ctl, are kept.
Concurrent changes by others are kept too; conflicting changes of the same entry are refused.

Exit codes:
  0  published, or nothing to change, or valid with --check or check
  1  the files cannot be read or have errors, or warnings with check --deny-warnings; nothing was
     published
  2  invalid command line
  3  refused because of another operator's change; nothing was published
  4  the platform is unavailable; nothing was published
  5  the platform did not answer; the change may or may not be in force: run the command again";

/// The values of the command line arguments.
pub(crate) struct Options {
    pub(crate) platform: Option<SocketAddr>,
    pub(crate) timeout: Duration,
    pub(crate) check: bool,
    /// Whether to run `check`, which also reports findings and differences.
    pub(crate) inspect: bool,
    pub(crate) deny_warnings: bool,
    pub(crate) expected_version: Option<u64>,
    pub(crate) files: Vec<String>,
}

impl Options {
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let subcommand = matches.subcommand_matches("check");
        let matches = subcommand.unwrap_or(matches);
        let flag = |name| matches!(matches.try_get_one(name), Ok(Some(true)));
        let timeout_ms = matches.get_one::<u64>("timeout-ms").copied();
        Self {
            platform: matches.get_one("platform").copied(),
            timeout: Duration::from_millis(timeout_ms.unwrap_or_default()),
            check: flag("check"),
            inspect: subcommand.is_some(),
            deny_warnings: flag("deny-warnings"),
            expected_version: matches
                .try_get_one("expected-version")
                .ok()
                .flatten()
                .copied(),
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
        .subcommand_negates_reqs(true)
        .args_conflicts_with_subcommands(true)
        .disable_help_subcommand(true)
        .subcommand(check_command())
        .arg(platform_argument().required_unless_present("check"))
        .arg(timeout_argument())
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
        .arg(files_argument())
}

fn check_command() -> Command {
    Command::new("check")
        .about("Reports errors, entries without effect and what would change; publishes nothing")
        .arg(platform_argument())
        .arg(timeout_argument())
        .arg(
            Arg::new("deny-warnings")
                .long("deny-warnings")
                .action(ArgAction::SetTrue)
                .help("Ends with exit code 1 if there are warnings"),
        )
        .arg(files_argument())
}

fn platform_argument() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
        .help("IP address and port of the platform's object API")
}

fn timeout_argument() -> Arg {
    Arg::new("timeout-ms")
        .long("timeout-ms")
        .value_name("N")
        .default_value("2000")
        .value_parser(value_parser!(u64).range(1..))
        .help("Timeout of a call to the platform, in milliseconds")
}

fn files_argument() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .required(true)
        .num_args(1..)
        .help("Declaration files of all services")
}
