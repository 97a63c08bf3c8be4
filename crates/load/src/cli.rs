//! Command-line definition, and conversion of the arguments to typed settings.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::value_parser;

use crate::error::LoadError;
use crate::session::Login;

/// The subcommand to run, with its settings.
pub(crate) enum Command {
    /// Compares statements through a VM with statements sent directly.
    Bench(BenchSettings),
    /// Writes at a steady rate while a fault is injected from outside.
    Outage(OutageSettings),
    /// Writes through one VM and reads through another.
    Walkthrough(WalkthroughSettings),
}

/// Settings of a benchmark.
pub(crate) struct BenchSettings {
    /// The login at both the VM and the member.
    pub(crate) login: Login,
    /// The VM under test.
    pub(crate) vm: SocketAddr,
    /// The member for the direct comparison.
    pub(crate) direct: SocketAddr,
    /// The process ID of the VM, to measure its processor time and memory.
    pub(crate) vm_pid: Option<u32>,
    /// The number of parallel connections.
    pub(crate) connections: usize,
    /// The number of statements on each connection.
    pub(crate) statements: usize,
    /// The number of idle connections with which the memory of a connection is measured.
    pub(crate) idle_connections: usize,
    /// The time after which a run starts no further statements.
    pub(crate) time_limit: Duration,
}

/// Settings of the writes during an outage.
pub(crate) struct OutageSettings {
    /// The login at the VM.
    pub(crate) login: Login,
    /// The VM that receives the writes.
    pub(crate) vm: SocketAddr,
    /// How long writes are sent.
    pub(crate) duration: Duration,
}

/// Settings of a walk-through.
pub(crate) struct WalkthroughSettings {
    /// The login for the write; its route is replaced for the read.
    pub(crate) login: Login,
    /// The route of the read.
    pub(crate) read_route: String,
    /// The VM that receives the write.
    pub(crate) first: SocketAddr,
    /// The VM that receives the read.
    pub(crate) second: SocketAddr,
}

/// Parses and checks the arguments of the process.
///
/// # Errors
///
/// Returns an error for the first argument with an invalid value. Syntax errors and `--help` end
/// the process with clap's own message.
pub(crate) fn parse() -> Result<Command, LoadError> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("bench", matches)) => bench_settings(matches).map(Command::Bench),
        Some(("outage", matches)) => outage_settings(matches).map(Command::Outage),
        Some(("walkthrough", matches)) => walkthrough_settings(matches).map(Command::Walkthrough),
        _ => Err(argument_error("command", "none given")),
    }
}

fn command() -> clap::Command {
    clap::Command::new("lycheedoor-load")
        .about("Sends bounded load to lycheedoor on loopback addresses")
        .subcommand_required(true)
        .subcommand(bench_command())
        .subcommand(outage_command())
        .subcommand(walkthrough_command())
}

fn bench_command() -> clap::Command {
    login_arguments(clap::Command::new("bench"))
        .about("Compares statements through a VM with statements sent directly")
        .arg(address_argument("vm", "Address of the VM for callers"))
        .arg(address_argument(
            "direct",
            "Address of the member behind the VM",
        ))
        .arg(
            number_argument(
                "vm-pid",
                "Process id of the VM, to measure its processor time",
            )
            .required(false),
        )
        .arg(
            number_argument("connections", "Connections in parallel")
                .required(false)
                .default_value("2"),
        )
        .arg(
            number_argument("statements", "Statements on each connection")
                .required(false)
                .default_value("5000"),
        )
        .arg(
            number_argument("idle-connections", "Connections that only stay open")
                .required(false)
                .default_value("0"),
        )
        .arg(
            number_argument("time-limit-s", "Longest time of one run, in seconds")
                .required(false)
                .default_value("60"),
        )
}

fn outage_command() -> clap::Command {
    login_arguments(clap::Command::new("outage"))
        .about("Issues numbers steadily and reports the longest time without an answer")
        .arg(address_argument("vm", "Address of the VM for callers"))
        .arg(
            number_argument("seconds", "How long to write, in seconds")
                .required(false)
                .default_value("5"),
        )
}

fn walkthrough_command() -> clap::Command {
    login_arguments(clap::Command::new("walkthrough"))
        .about("Issues a number through one VM and reads it back through another")
        .arg(optional_text_argument(
            "read-route",
            "Route for reads",
            "invoices-read",
        ))
        .arg(address_argument("first", "Address of the VM for the write"))
        .arg(address_argument("second", "Address of the VM for the read"))
}

fn login_arguments(command: clap::Command) -> clap::Command {
    command
        .arg(text_argument("workspace", "Workspace to log in as"))
        .arg(optional_text_argument(
            "key-env",
            "Environment variable that holds the key",
            "LYCHEEDOOR_KEY",
        ))
        .arg(optional_text_argument("route", "Route to use", "invoices"))
}

fn text_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .required(true)
        .value_name("TEXT")
}

fn optional_text_argument(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    text_argument(name, help)
        .required(false)
        .default_value(default)
}

fn address_argument(name: &'static str, help: &'static str) -> Arg {
    text_argument(name, help)
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
}

fn number_argument(name: &'static str, help: &'static str) -> Arg {
    text_argument(name, help)
        .value_name("NUMBER")
        .value_parser(value_parser!(u32))
}

fn bench_settings(matches: &ArgMatches) -> Result<BenchSettings, LoadError> {
    Ok(BenchSettings {
        login: login_from(matches)?,
        vm: loopback_address(matches, "vm")?,
        direct: loopback_address(matches, "direct")?,
        vm_pid: matches.get_one::<u32>("vm-pid").copied(),
        connections: bounded_count(matches, "connections", 256)?,
        statements: bounded_count(matches, "statements", 1_000_000)?,
        idle_connections: bounded_count(matches, "idle-connections", 10_000)?,
        time_limit: Duration::from_secs(bounded_count(matches, "time-limit-s", 600)? as u64),
    })
}

fn outage_settings(matches: &ArgMatches) -> Result<OutageSettings, LoadError> {
    Ok(OutageSettings {
        login: login_from(matches)?,
        vm: loopback_address(matches, "vm")?,
        duration: Duration::from_secs(bounded_count(matches, "seconds", 600)? as u64),
    })
}

fn walkthrough_settings(matches: &ArgMatches) -> Result<WalkthroughSettings, LoadError> {
    Ok(WalkthroughSettings {
        login: login_from(matches)?,
        read_route: string_value(matches, "read-route")?,
        first: loopback_address(matches, "first")?,
        second: loopback_address(matches, "second")?,
    })
}

/// Reads the key from the environment, so that it does not appear in process lists.
fn login_from(matches: &ArgMatches) -> Result<Login, LoadError> {
    let variable = string_value(matches, "key-env")?;
    let key = std::env::var(&variable)
        .map_err(|_| argument_error("key-env", &format!("variable {variable} is not set")))?;
    Ok(Login::new(
        string_value(matches, "workspace")?,
        key,
        string_value(matches, "route")?,
    ))
}

fn string_value(matches: &ArgMatches, name: &'static str) -> Result<String, LoadError> {
    matches
        .get_one::<String>(name)
        .cloned()
        .ok_or_else(|| argument_error(name, "missing"))
}

fn loopback_address(matches: &ArgMatches, name: &'static str) -> Result<SocketAddr, LoadError> {
    let address = matches
        .get_one::<SocketAddr>(name)
        .copied()
        .ok_or_else(|| argument_error(name, "missing"))?;
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(argument_error(name, "only loopback addresses are accepted"))
    }
}

fn bounded_count(matches: &ArgMatches, name: &'static str, limit: u32) -> Result<usize, LoadError> {
    let value = matches.get_one::<u32>(name).copied().unwrap_or_default();
    if value > limit {
        return Err(argument_error(name, &format!("at most {limit}")));
    }
    Ok(value as usize)
}

fn argument_error(name: &'static str, cause: &str) -> LoadError {
    LoadError::Argument {
        name,
        cause: cause.to_owned(),
    }
}
