//! The command line of `lycheedoor-ctl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// A fixed width keeps the help text the same on every terminal.
const HELP_WIDTH: usize = 100;

const AFTER_HELP: &str = "\
Examples:
  lycheedoor-ctl status --platform 10.0.0.100:8080
  lycheedoor-ctl data-centre out east --platform 10.0.0.100:8080
  lycheedoor-ctl keys withdraw acme --platform 10.0.0.100:8080 < key.txt
  lycheedoor-ctl timeline --group invoices --last-s 60 --platform 10.0.0.100:8080
  lycheedoor-ctl explain log 903436ce2443323d /var/log/lycheedoor/*.log
  lycheedoor-ctl status --vm-address 10.0.0.1:7001 --vm-address 10.0.0.2:7001

A change is in force everywhere within seconds; `status` shows the version on each VM. There is no
command for a planned stop of a VM: send SIGTERM to its process.

Exit codes:
  0  done, or nothing to change
  1  no matching record was found
  2  invalid command line
  3  refused; nothing was changed
  4  the platform is unavailable; nothing was changed
  5  the platform did not answer; the change may or may not be in force: run the command again";

pub(crate) fn command() -> Command {
    Command::new("lycheedoor-ctl")
        .about("Shows the state of the fleet and changes keys, data centres and members")
        .after_help(AFTER_HELP)
        .term_width(HELP_WIDTH)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(with_vm_addresses(Command::new("status").about(
            "Shows groups, data centres, workspaces and VMs on one screen",
        )))
        .subcommand(keys())
        .subcommand(data_centre())
        .subcommand(member())
        .subcommand(timeline())
        .subcommand(explain())
        .subcommand(
            Command::new("hash-key").about(
                "Reads a key from standard input and prints its digest for a declaration file",
            ),
        )
}

fn keys() -> Command {
    let change = |name: &'static str, about: &'static str| {
        with_platform(Command::new(name).about(about))
            .arg(name_argument("workspace", "WORKSPACE", "Workspace of the key"))
            .arg(
                Arg::new("digest")
                    .long("digest")
                    .value_name("DIGEST")
                    .help("Digest as printed by hash-key; without it, reads the key itself from standard input"),
            )
    };
    Command::new("keys")
        .about("Grants and withdraws keys")
        .subcommand_required(true)
        .subcommand(change(
            "add",
            "Accepts a key, even if it was withdrawn before",
        ))
        .subcommand(change(
            "withdraw",
            "Stops accepting a key, even on open connections and if a file declares it",
        ))
}

fn data_centre() -> Command {
    let change = |name: &'static str, about: &'static str| {
        with_platform(Command::new(name).about(about)).arg(name_argument(
            "data-centre",
            "DATA-CENTRE",
            "Name of the data centre",
        ))
    };
    Command::new("data-centre")
        .about("Takes data centres out of service and brings them back")
        .subcommand_required(true)
        .subcommand(change("out", "Assigns no new work to the data centre"))
        .subcommand(change("in", "Assigns new work to the data centre again"))
}

fn member() -> Command {
    let change = |name: &'static str, about: &'static str| {
        with_platform(Command::new(name).about(about))
            .arg(name_argument("group", "GROUP", "Group of the member"))
            .arg(name_argument("member", "MEMBER", "Name of the member"))
    };
    Command::new("member")
        .about("Takes members of groups out of service and brings them back")
        .subcommand_required(true)
        .subcommand(change("leave", "Assigns no new work to the member"))
        .subcommand(change("return", "Assigns new work to the member again"))
}

fn timeline() -> Command {
    with_filters(with_vm_addresses(
        Command::new("timeline").about("Shows the merged time line of all VMs"),
    ))
    .arg(
        Arg::new("json")
            .long("json")
            .action(ArgAction::SetTrue)
            .help("Prints JSON lines"),
    )
}

fn explain() -> Command {
    let request_argument = || {
        Arg::new("request")
            .required(true)
            .value_name("REQUEST")
            .value_parser(value_parser!(u64))
            .help("Number of the statement")
    };
    let vm_option = || {
        Arg::new("vm")
            .long("vm")
            .value_name("VM")
            .help("VM that served the statement; needed if several VMs have this number")
    };
    Command::new("explain")
        .about("Explains why something happened, with the evidence")
        .subcommand_required(true)
        .subcommand(
            with_vm_addresses(Command::new("refusal").about("Why a statement was refused"))
                .arg(request_argument())
                .arg(vm_option()),
        )
        .subcommand(
            with_vm_addresses(Command::new("read").about("Why a read went to the primary"))
                .arg(request_argument())
                .arg(vm_option()),
        )
        .subcommand(
            with_vm_addresses(
                Command::new("promotion").about("Why a promotion happened or did not happen"),
            )
            .arg(name_argument("group", "GROUP", "Name of the group"))
            .args(period_options()),
        )
        .subcommand(
            Command::new("log")
                .about("What the log files of all VMs say about a statement and related events")
                .arg(name_argument(
                    "statement",
                    "STATEMENT",
                    "Identifier of the statement, as its caller sent it",
                ))
                .arg(
                    Arg::new("log")
                        .required(true)
                        .num_args(1..)
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("Log files with JSON lines, preferably of all VMs"),
                ),
        )
}

fn with_platform(command: Command) -> Command {
    command
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDR")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("IP address and port of the platform's object API"),
        )
        .arg(
            Arg::new("timeout-ms")
                .long("timeout-ms")
                .value_name("N")
                .default_value("2000")
                .value_parser(value_parser!(u64).range(1..))
                .help("Timeout of a call to the platform or a VM, in milliseconds"),
        )
}

/// Adds the arguments of commands that only read. With `--vm-address` they work while the platform
/// is down.
fn with_vm_addresses(command: Command) -> Command {
    with_platform(command)
        .mut_arg("platform", |platform| {
            platform
                .required(false)
                .required_unless_present("vm-address")
        })
        .arg(
            Arg::new("vm-address")
                .long("vm-address")
                .value_name("ADDR")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help(
                    "Operator address of a VM to query instead of the VMs that the platform lists; \
                     may be repeated",
                ),
        )
}

fn with_filters(command: Command) -> Command {
    let text_option = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    command
        .arg(text_option("group", "GROUP", "Only events of this group"))
        .arg(text_option(
            "workspace",
            "WORKSPACE",
            "Only events of this workspace",
        ))
        .arg(text_option(
            "data-centre",
            "DATA-CENTRE",
            "Only events of this data centre",
        ))
        .arg(text_option(
            "vm",
            "VM",
            "Only events that this VM recorded or that are about it",
        ))
        .arg(number_option("session", "Only events of this session"))
        .arg(number_option("request", "Only events of this statement"))
        .args(period_options())
}

fn period_options() -> [Arg; 3] {
    [
        (
            "from-us",
            "Only events at or after this time, in microseconds since the Unix epoch",
        ),
        (
            "to-us",
            "Only events at or before this time, in microseconds since the Unix epoch",
        ),
        (
            "last-s",
            "Only events of the last N seconds before the newest one",
        ),
    ]
    .map(|(name, help)| number_option(name, help))
}

fn number_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .value_parser(value_parser!(u64))
}

fn name_argument(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).value_name(value).help(help)
}
