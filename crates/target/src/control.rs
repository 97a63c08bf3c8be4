//! Control commands that are sent to members, and their answers.

use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberCommand;
use lycheedoor_core::vm::MemberRole;
use lycheedoor_core::vm::MemberState;
use lycheedoor_frame::first_row;

/// Returns the text of a control command, to be sent as a simple query.
pub fn command_text(command: MemberCommand) -> String {
    match command {
        MemberCommand::Status => "LYCHEEDOOR STATUS".to_owned(),
        MemberCommand::Fence(term) => format!("LYCHEEDOOR FENCE {term}"),
        MemberCommand::Promote(term) => format!("LYCHEEDOOR PROMOTE {term}"),
        MemberCommand::AwaitReceived(position) => format!("LYCHEEDOOR AWAIT {position}"),
    }
}

/// Parses the row that answers a control command. Returns `None` when the answer has no such row.
pub fn parse_member_state(answer: &[u8]) -> Option<MemberState> {
    let row = first_row(answer)?;
    let column = |index: usize| row.get(index)?.as_deref();
    let role = match column(0)? {
        "primary" => MemberRole::Primary,
        "replica" => MemberRole::Replica,
        _ => return None,
    };
    let position = |index: usize| column(index)?.parse::<Position>().ok();
    Some(MemberState {
        role,
        term: Term(column(1)?.parse().ok()?),
        received: position(2)?,
        applied: position(3)?,
    })
}
