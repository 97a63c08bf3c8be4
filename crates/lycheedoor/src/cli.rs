//! The command line of the proxy process.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// The parsed command line.
pub(crate) struct Options {
    /// The path of the TOML settings file.
    pub(crate) settings_path: PathBuf,
    /// Whether the process validates the settings and exits.
    pub(crate) check_only: bool,
}

/// Parses the arguments; clap prints a message and exits on syntax errors and `--help`.
pub(crate) fn parse() -> Options {
    let matches = command().get_matches();
    Options {
        settings_path: matches
            .get_one::<PathBuf>("settings")
            .cloned()
            .unwrap_or_default(),
        check_only: matches.get_flag("check"),
    }
}

fn command() -> Command {
    Command::new("lycheedoor")
        .about("Database proxy with session consistency: the process on a VM")
        .after_help(
            "Examples:\n  lycheedoor --settings vm.toml\n  lycheedoor --settings vm.toml --check\n\n\
             Exit codes: 0 stopped as requested or settings valid, 1 cannot run, 2 settings \
             or arguments have faults.\n\nSIGTERM drains the VM: requests in progress finish first.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("TOML file with the settings of this VM"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only validates the settings"),
        )
}
