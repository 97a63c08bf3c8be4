//! Statements of callers, and the checks when they are sent and when they run.

use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::WorkspaceId;

use crate::database::StatementKind;
use crate::simulation::Simulation;
use crate::targets::ConnectionKey;
use crate::topology::*;
use crate::vms::Start;

#[derive(Clone, Debug)]
pub(crate) struct Statement {
    pub(crate) caller: usize,
    pub(crate) start: Start,
    pub(crate) workspace: WorkspaceId,
    /// The workspace and generation of the key that the caller presented.
    pub(crate) key: Option<(usize, u64)>,
    pub(crate) group: usize,
    pub(crate) route: RouteKind,
    pub(crate) kind: StatementKind,
    /// The effect of the statement, which is the same for all retries with one idempotency key.
    pub(crate) operation: u64,
    pub(crate) keyed: bool,
    pub(crate) transaction: Option<u64>,
    /// The acknowledged writes of the session when the statement was created, which a read must
    /// see.
    pub(crate) must_see: Vec<u64>,
    pub(crate) arrived_at: Option<u64>,
    pub(crate) sent_at: Option<u64>,
    /// The term in which the VM, at the last send, knew the member as primary; `None` if it knew
    /// another one.
    pub(crate) sent_as_primary: Option<Term>,
    pub(crate) runs: u32,
    pub(crate) outcome: Option<Outcome>,
}

impl Statement {
    fn continues_transaction(&self) -> bool {
        matches!(
            self.kind,
            StatementKind::TransactionWrite | StatementKind::Commit
        )
    }

    pub(crate) fn idempotency_key(&self) -> Option<String> {
        self.keyed.then(|| format!("op-{}", self.operation))
    }
}

impl Simulation {
    /// Checks invariants 3 to 6, 8, 10 and 12 when a VM sends a statement.
    pub(crate) fn check_sent(
        &mut self,
        key: ConnectionKey,
        member: usize,
        request: u64,
        workspace: &WorkspaceId,
        idempotency_key: Option<String>,
    ) {
        self.counts.add("statements sent", 1);
        self.check_slots(member);
        let sent_as_primary = self.known_primary_term(key.start, member);
        let statement = &mut self.statements[request as usize];
        statement.sent_at.get_or_insert(self.now);
        statement.sent_as_primary = sent_as_primary;
        if let (StatementKind::Begin, Some(transaction)) = (statement.kind, statement.transaction) {
            self.transaction_connections.insert(transaction, key);
        }
        let begun_on = statement
            .transaction
            .map(|id| self.transaction_connections.get(&id));
        if statement.continues_transaction() && begun_on != Some(Some(&key)) {
            let text = format!("statement {request} leaves the connection of its transaction");
            self.oracle.record_violation(self.now, 3, text);
        }
        let continues = statement.continues_transaction();
        if statement.workspace != *workspace
            || statement.idempotency_key() != idempotency_key
            || statement.start != key.start
        {
            let text = format!("statement {request} is sent as another: {statement:?}");
            self.oracle.record_violation(self.now, 4, text);
        }
        if statement.outcome == Some(Outcome::NotRun) {
            let text = format!("statement {request} is sent after it was refused as not run");
            self.oracle.record_violation(self.now, 10, text);
        }
        if let Some(secret) = leaked_key(&format!("{workspace} {idempotency_key:?}"), statement) {
            let text = format!("statement {request} carries the key {secret}");
            self.oracle.record_violation(self.now, 5, text);
        }
        self.oracle.check_key(self.now, request, statement);
        if !continues {
            self.oracle.check_target(self.now, request, member);
        }
    }

    fn known_primary_term(&self, start: Start, member: usize) -> Option<Term> {
        let vm = self.vms[start.vm].vm.as_ref()?;
        let state = vm
            .membership()
            .fence()?
            .groups
            .get(&group_id(group_of(member)))?;
        (state.primary == member_id(member)).then_some(state.term)
    }

    /// Checks the limit of statements in progress on a member across all VMs.
    ///
    /// A paused VM cannot close a connection when its permit expires, and the coordinator lends the
    /// slot again once the permit's time to live is over. Unfinished statements of such a VM are
    /// not counted, although the member may then run more statements than it has slots (seeds 27
    /// and 58 of 60 steps: two and one of the counted statements came from a VM that was paused for
    /// more than 6 s).
    fn check_slots(&mut self, member: usize) {
        let (now, vms) = (self.now, &self.vms);
        let used = self
            .connections
            .iter()
            .filter(|(_, c)| c.member == member && !c.closed && c.running)
            .filter(|(key, _)| !vms[key.start.vm].is_paused_past_permit_ttl(now))
            .count();
        if used >= SLOTS_PER_MEMBER {
            let text = format!("member {member} gets statement {}", used + 1);
            self.oracle.record_violation(self.now, 7, text);
        }
    }

    /// Checks the limit of connections to a member across all VMs.
    pub(crate) fn check_connections(&mut self, member: usize) {
        let open = self.connections.values();
        let open = open.filter(|c| c.member == member && !c.closed).count();
        if open > CONNECTIONS_PER_MEMBER {
            let text = format!("member {member} gets connection {open}");
            self.oracle.record_violation(self.now, 7, text);
        }
    }

    /// Checks invariant 3 when a statement runs.
    pub(crate) fn check_transaction(&mut self, key: ConnectionKey, request: u64) {
        let statement = &self.statements[request as usize];
        let open = self
            .connections
            .get(&key)
            .and_then(|connection| connection.transaction.as_ref())
            .map(|transaction| transaction.id);
        let expected = match statement.continues_transaction() {
            true => statement.transaction,
            false => None,
        };
        if open != expected {
            let text =
                format!("statement {request} of transaction {expected:?} runs inside {open:?}");
            self.oracle.record_violation(self.now, 3, text);
        }
    }

    /// Checks invariants 10 and 11 when a statement has run.
    pub(crate) fn statement_ran(&mut self, request: u64, has_effect: bool) {
        let statement = &mut self.statements[request as usize];
        if statement.outcome == Some(Outcome::NotRun) {
            let text = format!("statement {request} runs after it was refused as not run");
            self.oracle.record_violation(self.now, 10, text);
        }
        statement.runs += u32::from(has_effect);
        let repeatable = statement.keyed || statement.route != RouteKind::Write;
        if statement.runs > 1 && !repeatable {
            let text = format!("statement {request} runs twice");
            self.oracle.record_violation(self.now, 11, text);
        }
    }
}

/// Returns the key of a statement, or the key's digest, if `text` contains it.
fn leaked_key(text: &str, statement: &Statement) -> Option<String> {
    let (workspace, generation) = statement.key?;
    let digest = String::from(key_digest(workspace, generation));
    let secret = format!("secret key {generation} of ws{workspace}");
    let hex = digest.trim_start_matches("sha256:").to_owned();
    [secret, hex]
        .into_iter()
        .find(|key| text.contains(key.as_str()))
}
