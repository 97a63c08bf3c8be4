//! The stand-in platform over real sockets: conditional writes, watches and each fault must behave
//! as the tests of other packages expect.

#![allow(
    clippy::unwrap_used,
    reason = "clippy.toml allows it only inside test functions"
)]

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_http::Method;
use lycheedoor_http::ResponseDecoder;
use lycheedoor_http::encode_request;
use lycheedoor_platform::Client;
use lycheedoor_platform::MAX_VALUE_BYTES;
use lycheedoor_platform::ObjectStore;
use lycheedoor_platform::PlatformError;
use lycheedoor_platform::VmListing;
use lycheedoor_platform::VmState;
use lycheedoor_standin::platform::FaultMode;
use lycheedoor_standin::platform::Server;

fn start_platform() -> (Server, Client) {
    let server = Server::start("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = Client::new(server.address(), Duration::from_secs(5));
    (server, client)
}

fn get(client: &Client, known_version: u64) -> Result<PlatformAnswer, PlatformError> {
    client.call(&PlatformRequest::Get {
        object: "fence".into(),
        known_version,
    })
}

fn watch(client: &Client, known_version: u64) -> Result<PlatformAnswer, PlatformError> {
    client.call(&PlatformRequest::Watch {
        object: "fence".into(),
        known_version,
    })
}

fn put(client: &Client, expected_version: u64) -> Result<PlatformAnswer, PlatformError> {
    client.call(&PlatformRequest::Put {
        object: "fence".into(),
        expected_version,
        value: b"v".to_vec(),
    })
}

fn vm(name: &str, state: VmState) -> VmListing {
    VmListing {
        vm: name.into(),
        data_centre: "east".into(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        operator_address: "127.0.0.1:2".parse().unwrap(),
        state,
    }
}

#[test]
fn only_the_expected_version_is_replaced() {
    let (server, client) = start_platform();
    let absent = PlatformAnswer::Object {
        version: 0,
        value: Vec::new(),
    };
    assert_eq!(get(&client, 0).unwrap(), absent);
    assert_eq!(
        put(&client, 0).unwrap(),
        PlatformAnswer::Updated { version: 1 }
    );
    assert_eq!(
        put(&client, 0).unwrap(),
        PlatformAnswer::Conflict { version: 1 }
    );
    assert_eq!(
        get(&client, 1).unwrap(),
        PlatformAnswer::Unchanged { version: 1 }
    );
    assert_eq!(client.list_objects("fen").unwrap().len(), 1);
    assert!(client.list_objects("x").unwrap().is_empty());
    let counts = server.counts();
    assert_eq!((counts.gets, counts.puts, counts.conflicts), (2, 2, 1));
}

#[test]
fn exactly_one_concurrent_writer_creates_each_version() {
    let (server, client) = start_platform();
    let threads: Vec<_> = (0..8)
        .map(|_| {
            let client = client.clone();
            thread::spawn(move || (0..20).filter(|v| wins_version(&client, *v)).count())
        })
        .collect();
    let wins: usize = threads.into_iter().map(|t| t.join().unwrap()).sum();
    assert_eq!(wins, 20);
    assert_eq!(server.counts().conflicts, 8 * 20 - 20);
}

/// Writes with the expected version `version` and returns whether the write was accepted.
///
/// Afterwards the current version is at least `version + 1`, so a thread that takes the versions in
/// order never expects one that does not exist yet.
fn wins_version(client: &Client, version: u64) -> bool {
    matches!(put(client, version), Ok(PlatformAnswer::Updated { .. }))
}

#[test]
fn watch_of_a_missing_object_returns_when_it_is_created() {
    let (_server, client) = start_platform();
    let watcher = client.clone();
    let waiting = thread::spawn(move || watch(&watcher, 0));
    thread::sleep(Duration::from_millis(50));
    put(&client, 0).unwrap();
    let answer = waiting.join().unwrap().unwrap();
    assert!(matches!(answer, PlatformAnswer::Object { version: 1, .. }));
}

#[test]
fn outage_closes_watches_until_it_ends() {
    let (server, client) = start_platform();
    let watcher = client.clone();
    let waiting = thread::spawn(move || watch(&watcher, 0));
    thread::sleep(Duration::from_millis(50));
    server.set_fault(FaultMode::Down);
    assert!(matches!(
        waiting.join().unwrap(),
        Err(PlatformError::Unreachable(_))
    ));
    assert!(get(&client, 0).is_err());
    server.set_fault(FaultMode::Up);
    assert!(get(&client, 0).is_ok());
}

#[test]
fn write_with_a_lost_response_takes_effect() {
    let (server, client) = start_platform();
    server.set_fault(FaultMode::LosePutAnswers(1));
    assert!(matches!(
        put(&client, 0),
        Err(PlatformError::Unreachable(_))
    ));
    assert!(matches!(
        get(&client, 0).unwrap(),
        PlatformAnswer::Object { version: 1, .. }
    ));
    assert!(put(&client, 1).is_ok());
}

#[test]
fn slow_fault_delays_responses_and_stale_list_fault_delays_lists() {
    let (server, client) = start_platform();
    server.set_fault(FaultMode::StaleListMs(300));
    server.set_vms(vec![vm("b", VmState::Leaving), vm("a", VmState::Live)]);
    assert!(client.list_vms().unwrap().is_empty());
    thread::sleep(Duration::from_millis(320));
    assert_eq!(client.list_vms().unwrap()[0], vm("a", VmState::Live));
    server.set_fault(FaultMode::SlowMs(100));
    let started = Instant::now();
    get(&client, 0).unwrap();
    assert!(started.elapsed() >= Duration::from_millis(100));
}

#[test]
fn value_over_the_size_limit_is_rejected() {
    let (_server, client) = start_platform();
    let request = |size| PlatformRequest::Put {
        object: "fence".into(),
        expected_version: 0,
        value: vec![b'"'; size],
    };
    let refused = client.call(&request(MAX_VALUE_BYTES + 1));
    assert!(matches!(refused, Err(PlatformError::TooLarge)));
    assert!(client.call(&request(MAX_VALUE_BYTES)).is_ok());
}

#[test]
fn test_requests_work_over_http_during_an_outage() {
    let (server, client) = start_platform();
    let list = serde_json::to_vec(&[vm("a", VmState::Live)]).unwrap();
    assert_eq!(post(&server, "/vms", &list), 200);
    assert_eq!(client.list_vms().unwrap().len(), 1);
    assert_eq!(post(&server, "/faults", br#"{"mode":"down"}"#), 200);
    assert!(client.list_vms().is_err());
    assert_eq!(post(&server, "/faults", br#"{"mode":"sideways"}"#), 400);
    assert_eq!(post(&server, "/faults", br#"{"mode":"up"}"#), 200);
    assert!(client.list_vms().is_ok());
}

fn post(server: &Server, target: &str, body: &[u8]) -> u16 {
    let mut stream = TcpStream::connect(server.address()).unwrap();
    let mut bytes = Vec::new();
    encode_request(&mut bytes, Method::Post, target, "application/json", body);
    stream.write_all(&bytes).unwrap();
    let mut decoder = ResponseDecoder::default();
    let mut buffer = [0; 1024];
    loop {
        if let Some(response) = decoder.next_response().unwrap() {
            return response.status;
        }
        let count = stream.read(&mut buffer).unwrap();
        assert_ne!(count, 0, "connection ended without a response");
        decoder.extend(&buffer[..count]);
    }
}
