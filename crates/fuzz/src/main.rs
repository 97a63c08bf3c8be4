//! Fuzzes a range of seeds: `lycheedoor-fuzz --seeds 0..1000 --steps 60`.

use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use lycheedoor_fuzz::Counts;
use lycheedoor_fuzz::Options;
use lycheedoor_fuzz::fuzz_seed;
use lycheedoor_fuzz::replay_seed;

fn parse_seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let (from, to) = text.split_once("..").ok_or("expected FROM..TO")?;
    let number = |text: &str| text.parse::<u64>().map_err(|error| error.to_string());
    Ok(number(from)?..number(to)?)
}

fn command() -> Command {
    Command::new("lycheedoor-fuzz")
        .about("Fuzzes whole VMs in virtual time and checks the invariants")
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("FROM..TO")
                .help("Seeds to run; each gives one list of operations")
                .value_parser(parse_seeds)
                .default_value("0..100"),
        )
        .arg(
            Arg::new("steps")
                .long("steps")
                .value_name("N")
                .help("The largest number of operations of a run")
                .value_parser(clap::value_parser!(usize))
                .default_value("60"),
        )
        .arg(
            Arg::new("trace")
                .long("trace")
                .help("Runs each seed without shrinking and prints the last events of a failure")
                .action(ArgAction::SetTrue),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let seeds = matches
        .get_one::<std::ops::Range<u64>>("seeds")
        .cloned()
        .unwrap_or(0..0);
    let steps = matches.get_one("steps").copied().unwrap_or(60);
    let trace = matches.get_flag("trace");
    let (mut counts, mut failed) = (Counts::default(), 0);
    for seed in seeds.clone() {
        let result = match trace {
            true => replay_seed(seed, steps, Options { trace }),
            false => fuzz_seed(seed, steps),
        };
        match result {
            Ok(run) => counts.merge(&run),
            Err(text) => {
                failed += 1;
                println!("seed {seed}: {text}");
            }
        }
    }
    print!("{counts}");
    println!("{failed} of {} seeds failed", seeds.end - seeds.start);
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
