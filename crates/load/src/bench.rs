//! Benchmark that compares statements through a VM with statements sent directly to a member.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::cli::BenchSettings;
use crate::error::LoadError;
use crate::process_usage;
use crate::session::Login;
use crate::session::query_text;

const SETUP_STATEMENT: &str = "SELECT put('bench','value')";
const MEASURED_STATEMENT: &str = "SELECT get('bench')";
/// With 3 significant digits the error of a percentile is under 0.1%.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The rate of the paced runs, as a share of the lower of the two full-load rates.
const PACED_RATE_SHARE: f64 = 0.5;

struct RunResult {
    latency_us: Histogram<u64>,
    elapsed: Duration,
}

impl RunResult {
    fn statements_per_s(&self) -> f64 {
        self.latency_us.len() as f64 / self.elapsed.as_secs_f64()
    }
}

/// Runs the benchmark and prints the results.
///
/// # Errors
///
/// Returns an error if a server refuses a statement or the VM's process cannot be measured.
pub(crate) fn run(settings: &BenchSettings) -> Result<(), LoadError> {
    for address in [settings.direct, settings.vm] {
        let mut client = settings.login.connect(address, None)?;
        query_text(&mut client, address, SETUP_STATEMENT)?;
    }
    let direct = run_load(settings, settings.direct, None)?;
    let cpu_before = settings
        .vm_pid
        .map(process_usage::processor_time)
        .transpose()?;
    let through_vm = run_load(settings, settings.vm, None)?;
    let cpu_after = settings
        .vm_pid
        .map(process_usage::processor_time)
        .transpose()?;
    let paced_statements_per_s =
        through_vm.statements_per_s().min(direct.statements_per_s()) * PACED_RATE_SHARE;
    let paced_direct = run_load(settings, settings.direct, Some(paced_statements_per_s))?;
    let paced_through_vm = run_load(settings, settings.vm, Some(paced_statements_per_s))?;

    print_run("direct, full load", &direct);
    print_run("through VM, full load", &through_vm);
    print_run("direct, half load", &paced_direct);
    print_run("through VM, half load", &paced_through_vm);
    let ratio = through_vm.statements_per_s() / direct.statements_per_s();
    println!("statements/s through VM / direct: {ratio:.3}");
    let added = |quantile: f64| {
        paced_through_vm.latency_us.value_at_quantile(quantile) as i64
            - paced_direct.latency_us.value_at_quantile(quantile) as i64
    };
    println!(
        "added latency at half load: p50 {} us, p99 {} us",
        added(0.5),
        added(0.99)
    );
    if let (Some(before), Some(after)) = (cpu_before, cpu_after) {
        let cpu_us = (after - before).as_micros() as f64 / through_vm.latency_us.len() as f64;
        println!("VM processor time per statement: {cpu_us:.1} us (target 40 us)");
    }
    measure_idle(settings)
}

fn print_run(name: &str, run: &RunResult) {
    let at = |quantile| run.latency_us.value_at_quantile(quantile);
    println!(
        "{name}: {:.0} statements/s, p50 {} us, p99 {} us, p99.9 {} us",
        run.statements_per_s(),
        at(0.5),
        at(0.99),
        at(0.999)
    );
}

fn run_load(
    settings: &BenchSettings,
    address: SocketAddr,
    statements_per_s: Option<f64>,
) -> Result<RunResult, LoadError> {
    let interval =
        statements_per_s.map(|rate| Duration::from_secs_f64(settings.connections as f64 / rate));
    let started = Instant::now();
    let histograms = thread::scope(|scope| {
        let workers: Vec<_> = (0..settings.connections)
            .map(|_| scope.spawn(|| run_connection(settings, &settings.login, address, interval)))
            .collect();
        workers
            .into_iter()
            .map(join_worker)
            .collect::<Result<Vec<_>, _>>()
    })?;
    let elapsed = started.elapsed();
    let mut latency_us = new_histogram()?;
    for histogram in &histograms {
        latency_us
            .add(histogram)
            .map_err(|error| measurement_error(&error.to_string()))?;
    }
    Ok(RunResult {
        latency_us,
        elapsed,
    })
}

fn join_worker<T>(
    worker: thread::ScopedJoinHandle<'_, Result<T, LoadError>>,
) -> Result<T, LoadError> {
    worker
        .join()
        .unwrap_or_else(|_| Err(measurement_error("a load thread panicked")))
}

/// Runs the statements of one connection and records their latencies.
///
/// The latency of a paced statement counts from its scheduled time. Counting from the time of
/// sending would hide a stall of the server, because the stall also delays the next statements.
fn run_connection(
    settings: &BenchSettings,
    login: &Login,
    address: SocketAddr,
    interval: Option<Duration>,
) -> Result<Histogram<u64>, LoadError> {
    let mut client = login.connect(address, None)?;
    let mut latency_us = new_histogram()?;
    let started = Instant::now();
    let mut scheduled_at = started;
    for _ in 0..settings.statements {
        if started.elapsed() > settings.time_limit {
            break;
        }
        if let Some(interval) = interval {
            scheduled_at += interval;
            thread::sleep(scheduled_at.saturating_duration_since(Instant::now()));
        } else {
            scheduled_at = Instant::now();
        }
        query_text(&mut client, address, MEASURED_STATEMENT)?;
        latency_us.saturating_record(scheduled_at.elapsed().as_micros() as u64);
    }
    Ok(latency_us)
}

fn measure_idle(settings: &BenchSettings) -> Result<(), LoadError> {
    let (Some(pid), 1..) = (settings.vm_pid, settings.idle_connections) else {
        return Ok(());
    };
    let before = process_usage::resident_bytes(pid)?;
    let clients = (0..settings.idle_connections)
        .map(|_| settings.login.connect(settings.vm, None))
        .collect::<Result<Vec<_>, _>>()?;
    let after = process_usage::resident_bytes(pid)?;
    let each = after.saturating_sub(before) / clients.len() as u64;
    println!("VM memory per idle caller connection: {each} bytes (target 12288)");
    Ok(())
}

fn new_histogram() -> Result<Histogram<u64>, LoadError> {
    Histogram::new(SIGNIFICANT_DIGITS).map_err(|error| measurement_error(&error.to_string()))
}

fn measurement_error(cause: &str) -> LoadError {
    LoadError::Measurement {
        cause: cause.to_owned(),
    }
}
