//! Tests with an unmodified PostgreSQL driver: statements have to reach the member, and their
//! answers have to come back complete.

mod common;

use common::KEY;
use common::VmProcess;
use common::query_text;
use common::start_primary;
use postgres::SimpleQueryMessage;

/// Guards against an exchange of one of the driver's query methods that is lost, run twice or
/// answered with another result: `issue` returns the next number of a series each time it runs.
#[test]
fn every_query_method_of_a_driver_returns_its_result() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    let mut client = vm.connect();
    assert_eq!(query_text(&mut client, "SELECT issue('s')"), "1");
    let rows = client.query("SELECT issue($1)", &[&"s"]).unwrap();
    assert_eq!(rows[0].get::<_, String>(0), "2");
    assert_eq!(client.execute("SELECT issue('s')", &[]).unwrap(), 1);
    let answer = client.simple_query("SELECT issue('s')").unwrap();
    assert!(matches!(&answer[1], SimpleQueryMessage::Row(row) if row.get(0) == Some("4")));
    let mut transaction = client.transaction().unwrap();
    transaction.execute("SELECT issue('s')", &[]).unwrap();
    transaction.rollback().unwrap();
    assert_eq!(query_text(&mut client, "SELECT last('s')"), "4");
}

/// Guards against a tenant key that is forwarded to the target.
#[test]
fn target_sees_the_workspace_but_never_the_key() {
    let member = start_primary();
    let vm = VmProcess::start(member.address());
    assert_eq!(query_text(&mut vm.connect(), "SELECT workspace()"), "shop");
    assert!(member.has_received_bytes(b"shop"));
    assert!(!member.has_received_bytes(KEY.as_bytes()));
}
