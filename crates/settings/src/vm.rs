//! The settings file of the process on a VM.

use std::net::SocketAddr;
use std::time::Duration;

use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::VmId;

use crate::fault::Report;
use crate::parse;
use crate::reader::TableReader;
use crate::source::InputFile;
use crate::source::Source;

/// The longest timeout that settings accept, in milliseconds.
const MAX_TIMEOUT_MS: u32 = 3_600_000;

/// The settings of the process on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmSettings {
    /// The name of the VM, which identifies it to the platform and to other VMs.
    pub vm: VmId,
    /// The data centre in which the VM runs.
    pub data_centre: DataCentreId,
    /// The cell to which the VM belongs.
    pub cell: String,
    /// The addresses on which the process listens.
    pub listen: ListenSettings,
    /// How to reach the platform.
    pub platform: PlatformSettings,
    /// Size limits and timeouts.
    pub limits: LimitSettings,
    /// Which events are logged, and how.
    pub log: LogSettings,
}

/// The addresses on which the process listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other VMs.
    pub peers: SocketAddr,
    /// The address for operator requests.
    pub operators: SocketAddr,
}

/// How to reach the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The address of the platform's object API.
    pub address: SocketAddr,
    /// The timeout of a call; a watch may take its own waiting time in addition.
    pub timeout: Duration,
}

/// Size limits and timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// The number of timeline events that the process keeps in memory.
    pub timeline_events: usize,
    /// The most caller connections that are open at once.
    pub caller_connections: usize,
    /// The largest message that is accepted from a caller or target, in bytes.
    pub message_bytes: usize,
    /// The timeout for a caller to log in.
    pub login_timeout: Duration,
    /// The timeout for opening a connection to a target.
    pub connect_timeout: Duration,
    /// The longest duration of a planned stop.
    pub drain_timeout: Duration,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Which events are logged, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The log levels by target, as in `info,lycheedoor::platform=debug`.
    pub filter: String,
    /// The format of log lines.
    pub format: LogFormat,
}

impl VmSettings {
    /// Parses a settings file.
    ///
    /// # Errors
    ///
    /// Returns a report of all errors when there is any.
    pub fn parse(file: InputFile<'_>) -> Result<Self, Report> {
        let mut faults = Vec::new();
        let (source, table) = Source::parse(file, &mut faults);
        if !faults.is_empty() {
            return Err(Report::new(faults));
        }
        let root = TableReader::new(&source, Some(table.get_ref()), 0..0, &mut faults);
        let settings = read_settings(root);
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(Report::new(faults)),
        }
    }
}

fn read_settings(mut root: TableReader<'_, '_>) -> Option<VmSettings> {
    let vm = root.section("vm").and_then(read_vm);
    let listen = root.section("listen").and_then(read_listen);
    let platform = root.section("platform").and_then(read_platform);
    let limits = read_limits(&mut root);
    let log = read_log(&mut root);
    root.reject_unknown_keys();
    let (vm, data_centre, cell) = vm?;
    Some(VmSettings {
        vm,
        data_centre,
        cell,
        listen: listen?,
        platform: platform?,
        limits: limits?,
        log: log?,
    })
}

fn read_vm(mut table: TableReader<'_, '_>) -> Option<(VmId, DataCentreId, String)> {
    let name = table.required("name", parse::name);
    let data_centre = table.required("data_centre", parse::name);
    let cell = table.required("cell", parse::name);
    table.reject_unknown_keys();
    Some((name?, data_centre?, cell?))
}

fn read_listen(mut table: TableReader<'_, '_>) -> Option<ListenSettings> {
    let callers = table.required("callers", parse::address);
    let peers = table.required("peers", parse::address);
    let operators = table.required("operators", parse::address);
    for (key, address, other) in [
        ("peers", peers, callers),
        ("operators", operators, callers),
        ("operators", operators, peers),
    ] {
        if address.is_some_and(|address| address.port() != 0) && address == other {
            table.error(
                table.span_of(key),
                format!("`{key}` is the same address as another listener"),
            );
        }
    }
    table.reject_unknown_keys();
    Some(ListenSettings {
        callers: callers?,
        peers: peers?,
        operators: operators?,
    })
}

fn read_platform(mut table: TableReader<'_, '_>) -> Option<PlatformSettings> {
    let address = table.required("address", parse::address);
    let timeout = optional_timeout(&mut table, "timeout_ms", 500);
    table.reject_unknown_keys();
    Some(PlatformSettings {
        address: address?,
        timeout: timeout?,
    })
}

fn read_limits(root: &mut TableReader<'_, '_>) -> Option<LimitSettings> {
    let mut table = root.section_or_empty("limits")?;
    let timeline_events = optional_size(&mut table, "timeline_events", 65_536, 1_000..=10_000_000);
    let caller_connections = optional_size(&mut table, "caller_connections", 4_096, 1..=1_000_000);
    let message_bytes = optional_size(&mut table, "message_bytes", 16 << 20, 1_024..=1_073_741_823);
    let login_timeout = optional_timeout(&mut table, "login_timeout_ms", 5_000);
    let connect_timeout = optional_timeout(&mut table, "connect_timeout_ms", 1_000);
    let drain_timeout = optional_timeout(&mut table, "drain_timeout_ms", 30_000);
    table.reject_unknown_keys();
    Some(LimitSettings {
        timeline_events: timeline_events?,
        caller_connections: caller_connections?,
        message_bytes: message_bytes?,
        login_timeout: login_timeout?,
        connect_timeout: connect_timeout?,
        drain_timeout: drain_timeout?,
    })
}

fn read_log(root: &mut TableReader<'_, '_>) -> Option<LogSettings> {
    let mut table = root.section_or_empty("log")?;
    let filter = table.optional("filter", "info".into(), parse::log_filter);
    let format = table.optional("format", LogFormat::Text, |value| {
        parse::one_of(
            value,
            &[("text", LogFormat::Text), ("json", LogFormat::Json)],
        )
    });
    table.reject_unknown_keys();
    Some(LogSettings {
        filter: filter?,
        format: format?,
    })
}

fn optional_size(
    table: &mut TableReader<'_, '_>,
    key: &'static str,
    default: u32,
    range: std::ops::RangeInclusive<u32>,
) -> Option<usize> {
    let number = table.optional(key, default, parse::number(range))?;
    usize::try_from(number).ok()
}

fn optional_timeout(
    table: &mut TableReader<'_, '_>,
    key: &'static str,
    default: u32,
) -> Option<Duration> {
    let ms = table.optional(key, default, parse::number(1..=MAX_TIMEOUT_MS))?;
    Some(Duration::from_millis(ms.into()))
}
