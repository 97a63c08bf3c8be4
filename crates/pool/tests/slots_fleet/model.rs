//! A member with slots, a bounded queue and faults.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_pool::ForwardedStatement;
use lycheedoor_pool::MemberAnswer;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::MemberError;
use lycheedoor_pool::MemberFault;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::TransactionState;

use super::setup::SLOTS;

const OPEN_MS: u64 = 12;
const STATEMENT_MS: u64 = 20;

/// Statements beyond those in the queue are refused.
const MAX_QUEUED: usize = 24;

type LinkKey = (usize, ConnectionId);

/// How a member treats statements.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Behaviour {
    /// Statements that the member runs and reports as failed.
    pub(crate) fails_per_mille: u32,
    /// Statements that the member never answers.
    pub(crate) hangs_per_mille: u32,
    /// By what part statements take longer, in percent.
    pub(crate) slower_percent: u64,
}

#[derive(Clone, Debug)]
enum Job {
    Open(LinkKey),
    /// A statement, with the number that decides how it ends if that does not depend on the run.
    Run(LinkKey, Option<u32>),
}

#[derive(Clone, Debug, Default)]
pub(crate) struct MemberModel {
    pub(crate) behaviour: Behaviour,
    pub(crate) is_down: bool,
    queue: VecDeque<Job>,
    running: Vec<(MonoTime, Job)>,
    ready: Vec<(LinkKey, MemberAnswer)>,
    /// The most statements and new connections that were in progress or queued at once.
    pub(crate) peak: usize,
    /// The statements that were answered with success.
    pub(crate) served: u32,
}

fn answer(result: Result<String, MemberError>) -> MemberAnswer {
    MemberAnswer {
        rows: Bytes::from_static(b"ROW x\r\n"),
        result,
        state: TransactionState::Idle,
        position: Some(Position::new(Term(1), 1)),
        status: None,
    }
}

/// Returns a number below 1,000 that depends on the identifier of a write alone, so that the same
/// writes fail in runs that are compared; `None` for reads, which are repeated.
fn write_draw(id: &str, statement: &ForwardedStatement) -> Option<u32> {
    let is_write =
        matches!(statement, ForwardedStatement::AsSent(text) if text.starts_with("WRITE"));
    let hash = id.bytes().fold(2_166_136_261_u32, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(16_777_619)
    });
    is_write.then_some((hash >> 8) % 1_000)
}

fn error(fault: MemberFault) -> Result<String, MemberError> {
    let text = "model".to_owned();
    Err(MemberError { fault, text })
}

impl MemberModel {
    pub(crate) fn open(&mut self, link: LinkKey) {
        self.queue.push_back(Job::Open(link));
        self.note_peak();
    }

    pub(crate) fn accept(&mut self, link: LinkKey, command: MemberCommand) {
        match command {
            MemberCommand::Forward { .. } if self.queue.len() >= MAX_QUEUED => {
                self.ready.push((link, answer(error(MemberFault::Busy))));
            }
            MemberCommand::Forward { id, statement, .. } => {
                let draw = write_draw(&id, &statement);
                self.queue.push_back(Job::Run(link, draw));
            }
            MemberCommand::Begin { .. } => {
                let mut begun = answer(Ok(String::new()));
                begun.state = TransactionState::Open;
                self.ready.push((link, begun));
            }
            _ => self.ready.push((link, answer(Ok(String::new())))),
        }
        self.note_peak();
    }

    pub(crate) fn close(&mut self, link: LinkKey) {
        let is_other = |job: &Job| !matches!(job, Job::Open(of) | Job::Run(of, _) if *of == link);
        self.queue.retain(is_other);
        self.running.retain(|(_, job)| is_other(job));
    }

    pub(crate) fn crash(&mut self) {
        self.is_down = true;
        self.queue.clear();
        self.running.clear();
        self.ready.clear();
    }

    fn note_peak(&mut self) {
        self.peak = self.peak.max(self.queue.len() + self.running.len());
    }

    /// Runs what is due; returns the events for the VMs. `draws` are random numbers.
    pub(crate) fn step(&mut self, now: MonoTime, draws: &[u32]) -> Vec<(LinkKey, PoolEvent)> {
        let mut events: Vec<(LinkKey, PoolEvent)> = Vec::new();
        for (key, answer) in self.ready.drain(..) {
            let link = key.1;
            events.push((key, PoolEvent::LinkAnswered { link, answer }));
        }
        let mut draws = draws.iter().map(|draw| draw % 1_000);
        let (done, running) = self.running.drain(..).partition(|(end, _)| *end <= now);
        self.running = running;
        let done: Vec<(MonoTime, Job)> = done;
        for (_, job) in done {
            match job {
                Job::Open(key) => {
                    let link = key.1;
                    let position = Some(Position::new(Term(1), 1));
                    events.push((key, PoolEvent::LinkReady { link, position }));
                }
                Job::Run(key, draw) => {
                    let draw = draw.or_else(|| draws.next()).unwrap_or_default();
                    let Behaviour {
                        fails_per_mille,
                        hangs_per_mille,
                        ..
                    } = self.behaviour;
                    if draw < hangs_per_mille {
                        continue;
                    }
                    let has_failed = draw < hangs_per_mille + fails_per_mille;
                    let result = match has_failed {
                        true => error(MemberFault::Failed),
                        false => Ok("signature".to_owned()),
                    };
                    self.served += u32::from(!has_failed);
                    let (link, answer) = (key.1, answer(result));
                    events.push((key, PoolEvent::LinkAnswered { link, answer }));
                }
            }
        }
        while self.running.len() < SLOTS as usize
            && let Some(job) = self.queue.pop_front()
        {
            let millis = match job {
                Job::Open(_) => OPEN_MS,
                Job::Run(..) => STATEMENT_MS * (100 + self.behaviour.slower_percent) / 100,
            };
            self.running
                .push((now + Duration::from_millis(millis), job));
        }
        events
    }
}
