//! Writes at a steady rate during a fault, and reports its effect as a caller sees it.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use postgres::Client;
use postgres::SimpleQueryMessage;

use crate::cli::OutageSettings;
use crate::error::LoadError;

const WRITE_INTERVAL: Duration = Duration::from_millis(10);
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
const STATEMENT: &str = "SELECT issue('outage')";

#[derive(Default)]
struct Observations {
    issued: Vec<u64>,
    refused: BTreeMap<String, u64>,
    longest_gap: Duration,
}

/// Issues numbers for the configured time, then reports the longest time without an answer, the
/// refused statements, and whether any number was issued twice.
///
/// # Errors
///
/// Returns an error if the first connection fails or a number was issued twice.
pub(crate) fn run(settings: &OutageSettings) -> Result<(), LoadError> {
    let mut client = settings.login.connect(settings.vm, None)?;
    let mut observations = Observations::default();
    let started = Instant::now();
    // A VM that has just started waits before it lends slots, so gaps count from the first answer.
    let mut last_answer: Option<Instant> = None;
    while started.elapsed() < settings.duration {
        let scheduled_at = Instant::now() + WRITE_INTERVAL;
        match issue(&mut client) {
            Ok(number) => {
                let gap = last_answer.map_or(Duration::ZERO, |at| at.elapsed());
                observations.longest_gap = observations.longest_gap.max(gap);
                last_answer = Some(Instant::now());
                observations.issued.push(number);
            }
            Err(code) => {
                *observations.refused.entry(code).or_default() += 1;
                if client.is_closed() {
                    thread::sleep(RECONNECT_DELAY);
                    if let Ok(reconnected) = settings.login.connect(settings.vm, None) {
                        client = reconnected;
                    }
                }
            }
        }
        thread::sleep(scheduled_at.saturating_duration_since(Instant::now()));
    }
    report(&observations)
}

fn issue(client: &mut Client) -> Result<u64, String> {
    let messages = client.simple_query(STATEMENT).map_err(|error| {
        let code = error.code().map(|code| code.code().to_owned());
        code.unwrap_or_else(|| "connection lost".to_owned())
    })?;
    let number = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0)?.parse().ok(),
        _ => None,
    });
    number.ok_or_else(|| "no number".to_owned())
}

fn report(observations: &Observations) -> Result<(), LoadError> {
    let mut numbers = observations.issued.clone();
    numbers.sort_unstable();
    numbers.dedup();
    let doubled = observations.issued.len() - numbers.len();
    println!(
        "{} numbers issued, longest time without an answer {} ms, refused or unknown {:?}, \
         doubled {doubled}",
        observations.issued.len(),
        observations.longest_gap.as_millis(),
        observations.refused
    );
    if doubled == 0 {
        Ok(())
    } else {
        Err(LoadError::Unexpected {
            expected: "each number to be issued once".to_owned(),
            found: format!("{doubled} numbers issued twice"),
        })
    }
}
