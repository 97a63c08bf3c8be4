//! Prints measures in virtual time, and capacity slopes.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use lycheedoor_bench::alloc::CountingAllocator;
use lycheedoor_bench::measures;
use lycheedoor_bench::slopes;

/// The number of seeds of a measure; each is run once for every VM of a site, with that VM killed.
const SEED_COUNT: u64 = 125;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn command() -> Command {
    let slopes = Command::new("slopes")
        .about("Measures work, bytes and messages at growing sizes and prints their slopes")
        .arg(
            Arg::new("update")
                .long("update")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Replaces the table between the markers of a page"),
        )
        .arg(
            Arg::new("counts-only")
                .long("counts-only")
                .action(ArgAction::SetTrue)
                .conflicts_with("update")
                .help("Leaves out processor time, allocations and memory"),
        );
    Command::new("lycheedoor-bench")
        .about("Measures of the decision logic")
        .subcommand_required(true)
        .subcommand(slopes)
        .subcommand(Command::new("measures").about("Measures against the targets of the design"))
}

fn update(path: &PathBuf, table: &str) -> Result<(), String> {
    let name = path.display();
    let page = std::fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
    let page = slopes::replace_table(&page, table)
        .ok_or_else(|| format!("{name}: the markers of the table are missing"))?;
    std::fs::write(path, page).map_err(|error| format!("{name}: {error}"))
}

fn print_measures() {
    let delays = measures::config_delays_ms(SEED_COUNT);
    for (name, per_mille) in [("p50", 500), ("p99", 990), ("p99.9", 999), ("max", 1_000)] {
        let delay = measures::quantile(&delays, per_mille).unwrap_or_default();
        println!("configuration in force everywhere, {name}: {delay} ms (target 3000 ms at p99.9)");
    }
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let arguments = match matches.subcommand() {
        Some(("slopes", arguments)) => arguments,
        Some(("measures", _)) => {
            print_measures();
            return ExitCode::SUCCESS;
        }
        _ => return ExitCode::FAILURE,
    };
    let mut rows = slopes::counted_rows();
    if !arguments.get_flag("counts-only") {
        rows.extend(slopes::timed_rows());
    }
    let table = slopes::table(&rows);
    print!("{table}");
    match arguments.get_one::<PathBuf>("update") {
        Some(path) => match update(path, &table) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        },
        None => ExitCode::SUCCESS,
    }
}
