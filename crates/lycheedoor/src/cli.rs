//! Command line of the process on a VM.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// What the process was asked to do.
pub(crate) struct Options {
    /// The settings file.
    pub(crate) settings_path: PathBuf,
    /// Whether the settings are only to be validated.
    pub(crate) check_only: bool,
}

/// Parses the arguments; syntax errors and `--help` end the process with clap's message.
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
