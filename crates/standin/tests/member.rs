//! The stand-in member must behave like a database to a real driver, and like a member of a
//! replicated group to control commands; the tests of other packages rely on both.

#![allow(
    clippy::unwrap_used,
    reason = "clippy exempts test functions but not their helpers"
)]

use std::net::TcpListener;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lycheedoor_standin::member::MemberOptions;
use lycheedoor_standin::member::RunningMember;
use lycheedoor_standin::member::start;
use postgres::Client;
use postgres::NoTls;
use postgres::SimpleQueryMessage;

/// Starts a group of three members: a (the primary), b and c.
fn start_group(apply_delay_ms: u64, fetch_delay_ms: u64) -> Vec<RunningMember> {
    let listeners: Vec<_> = (0..3)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let names = ["a", "b", "c"];
    let addresses: Vec<_> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    listeners
        .into_iter()
        .enumerate()
        .map(|(index, listener)| {
            let peers = (0..3)
                .filter(|peer| *peer != index)
                .map(|peer| (names[peer].to_owned(), addresses[peer]))
                .collect();
            let options = MemberOptions {
                name: names[index].to_owned(),
                group: "g".to_owned(),
                peers,
                primary: "a".to_owned(),
                term: 1,
                apply_delay: Duration::from_millis(apply_delay_ms),
                fetch_delay: Duration::from_millis(fetch_delay_ms),
            };
            start(listener, options).unwrap()
        })
        .collect()
}

fn connect(member: &RunningMember) -> Client {
    config(member).connect(NoTls).unwrap()
}

fn connect_control(member: &RunningMember) -> Client {
    let mut config = config(member);
    config.options("-c lycheedoor.control=on");
    config.connect(NoTls).unwrap()
}

fn config(member: &RunningMember) -> postgres::Config {
    let mut config = postgres::Config::new();
    config
        .host("127.0.0.1")
        .port(member.address().port())
        .user("lycheedoor")
        .dbname("g");
    config
}

/// Runs a control command and returns role, term, received position and applied position, or the
/// SQLSTATE of the error.
fn control_command(member: &RunningMember, text: &str) -> Result<String, String> {
    let answer = connect_control(member).simple_query(&format!("LYCHEEDOOR {text}"));
    let messages = answer.map_err(|error| error.code().unwrap().code().to_owned())?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let row = row.unwrap();
    let columns: Vec<_> = (0..row.len())
        .map(|index| row.get(index).unwrap())
        .collect();
    Ok(columns.join(" "))
}

fn wait_until(what: &str, mut ready: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while !ready() {
        assert!(Instant::now() < deadline, "{what}");
        thread::sleep(Duration::from_millis(2));
    }
}

fn query_text(client: &mut Client, query: &str) -> String {
    client.query_one(query, &[]).unwrap().get(0)
}

#[test]
fn sequence_has_no_gap_after_a_rollback_and_transactions_read_their_own_writes() {
    let members = start_group(0, 0);
    let mut client = connect(&members[0]);
    assert_eq!(query_text(&mut client, "SELECT issue('s')"), "1");
    let mut transaction = client.transaction().unwrap();
    let row = transaction.query_one("SELECT issue($1)", &[&"s"]).unwrap();
    assert_eq!(row.get::<_, String>(0), "2");
    let row = transaction.query_one("SELECT last('s')", &[]).unwrap();
    assert_eq!(row.get::<_, String>(0), "2");
    transaction.rollback().unwrap();
    assert_eq!(query_text(&mut client, "SELECT issue('s')"), "2");
}

#[test]
fn repeated_write_with_an_idempotency_key_is_applied_once() {
    let members = start_group(0, 0);
    let mut client = connect(&members[0]);
    client
        .batch_execute("SET lycheedoor.idempotency_key = 'k'")
        .unwrap();
    assert_eq!(query_text(&mut client, "SELECT issue('s')"), "1");
    assert_eq!(query_text(&mut client, "SELECT issue('s')"), "1");
    assert_eq!(query_text(&mut client, "SELECT last('s')"), "1");
}

#[test]
fn replica_applies_writes_of_the_primary_and_refuses_its_own() {
    let members = start_group(0, 0);
    let mut primary = connect(&members[0]);
    let mut replica = connect(&members[1]);
    query_text(&mut primary, "SELECT put('k', 'it''s')");
    wait_until("the replica did not apply the write", || {
        let row = replica.query_one("SELECT get('k')", &[]).unwrap();
        row.get::<_, Option<String>>(0).as_deref() == Some("it's")
    });
    let error = replica.query("SELECT issue('s')", &[]).unwrap_err();
    assert_eq!(error.code().unwrap().code(), "25006");
}

#[test]
fn control_command_needs_a_control_connection() {
    let members = start_group(0, 0);
    let mut client = connect(&members[0]);
    let error = client.simple_query("LYCHEEDOOR FENCE 9").unwrap_err();
    assert_eq!(error.code().unwrap().code(), "42501");
    let answer = client.simple_query("SELECT issue('s')").unwrap();
    assert!(matches!(answer[1], SimpleQueryMessage::Row(_)));
}

#[test]
fn apply_delay_holds_back_the_applied_but_not_the_received_position() {
    let members = start_group(60_000, 0);
    query_text(&mut connect(&members[0]), "SELECT issue('s')");
    let confirmed = control_command(&members[1], "AWAIT 1:1").unwrap();
    assert_eq!(confirmed, "replica 1 1:1 0:0");
    let behind = query_text(&mut connect(&members[1]), "SELECT last('s')");
    assert_eq!(behind, "0");
}

#[test]
fn promotion_keeps_received_entries_and_discards_those_only_the_old_primary_had() {
    let members = start_group(0, 0);
    let mut old = connect(&members[0]);
    query_text(&mut old, "SELECT issue('s')");
    for replica in &members[1..] {
        control_command(replica, "AWAIT 1:1").unwrap();
        // Another thread advances the applied position, so its value is not yet determined here.
        let fenced = control_command(replica, "FENCE 2").unwrap();
        assert!(fenced.starts_with("replica 2 1:1 "), "{fenced}");
    }
    // The fenced members neither fetch entries of term 1 any more nor confirm positions of it.
    assert_eq!(query_text(&mut old, "SELECT issue('s')"), "2");
    assert_eq!(
        control_command(&members[1], "AWAIT 1:2"),
        Err("55000".to_owned())
    );
    assert_eq!(
        control_command(&members[1], "FENCE 1"),
        Err("55000".to_owned())
    );
    assert_eq!(
        control_command(&members[1], "PROMOTE 1"),
        Err("55000".to_owned())
    );
    assert_eq!(
        control_command(&members[1], "PROMOTE 2").unwrap(),
        "primary 2 1:1 1:1"
    );
    let mut new = connect(&members[1]);
    assert_eq!(query_text(&mut new, "SELECT issue('s')"), "2");
    assert_eq!(query_text(&mut new, "SELECT issue('s')"), "3");
    control_command(&members[2], "AWAIT 2:3").unwrap();
    // The old primary discards the entry that no other member has received.
    control_command(&members[0], "FENCE 2").unwrap();
    let refused = old.query("SELECT issue('s')", &[]).unwrap_err();
    assert_eq!(refused.code().unwrap().code(), "25006");
    control_command(&members[0], "AWAIT 2:3").unwrap();
    wait_until("the old primary kept its log", || {
        control_command(&members[0], "STATUS").unwrap() == "replica 2 2:3 2:3"
    });
    assert_eq!(query_text(&mut old, "SELECT last('s')"), "3");
}

#[test]
fn transaction_open_during_a_fence_cannot_commit() {
    let members = start_group(0, 0);
    let mut client = connect(&members[0]);
    let mut transaction = client.transaction().unwrap();
    transaction.execute("SELECT issue('s')", &[]).unwrap();
    control_command(&members[0], "FENCE 2").unwrap();
    let refused = transaction.commit().unwrap_err();
    assert_eq!(refused.code().unwrap().code(), "25006");
    assert_eq!(query_text(&mut client, "SELECT last('s')"), "0");
}
