//! Updates of the configuration: concurrent updates must not lose an accepted change, a lost
//! response must not make a change fail or apply twice, and a publication must keep the changes of
//! operators.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "clippy.toml allows them only inside test functions"
)]

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;

use lycheedoor_core::config::Config;
use lycheedoor_core::config::DataCentre;
use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::KeyDigest;
use lycheedoor_core::config::TenantKey;
use lycheedoor_core::config::Workspace;
use lycheedoor_core::types::Nonce;
use lycheedoor_core::vm::PlatformAnswer;
use lycheedoor_core::vm::PlatformRequest;
use lycheedoor_platform::ChangeError;
use lycheedoor_platform::ObjectStore;
use lycheedoor_platform::OperatorChange;
use lycheedoor_platform::PlatformError;
use lycheedoor_platform::Publication;
use lycheedoor_platform::PublishedConfig;
use lycheedoor_platform::UpdateError;
use lycheedoor_platform::UpdateResult;
use lycheedoor_platform::read_config;
use lycheedoor_platform::update_config;
use proptest::prelude::*;

/// How the store handles one write.
#[derive(Clone, Copy, Debug)]
enum WriteStep {
    /// The write takes effect and gets a response.
    Serve,
    /// The write takes effect, but its response is lost.
    LoseAnswer,
    /// The write does not reach the store.
    LoseRequest,
    /// Another operator adds the key with this number before the write.
    Race(u8),
    /// The write takes effect, its response is lost, and another operator adds a key after it.
    LoseAnswerThenRace(u8),
}

#[derive(Default)]
struct FakeStore {
    object: RefCell<(u64, Vec<u8>)>,
    steps: RefCell<VecDeque<WriteStep>>,
}

impl FakeStore {
    fn new(config: Config, steps: impl IntoIterator<Item = WriteStep>) -> Self {
        let published = PublishedConfig {
            config,
            ..PublishedConfig::default()
        };
        Self {
            object: RefCell::new((1, published.to_value())),
            steps: RefCell::new(steps.into_iter().collect()),
        }
    }

    fn current(&self) -> PublishedConfig {
        PublishedConfig::from_value(&self.object.borrow().1).unwrap()
    }

    fn write(&self, expected: u64, value: Vec<u8>) -> PlatformAnswer {
        let mut object = self.object.borrow_mut();
        if object.0 != expected {
            return PlatformAnswer::Conflict { version: object.0 };
        }
        *object = (expected + 1, value);
        PlatformAnswer::Updated {
            version: expected + 1,
        }
    }

    fn add_key_concurrently(&self, number: u8) {
        let other = FakeStore {
            object: RefCell::new(self.object.borrow().clone()),
            ..Self::default()
        };
        let nonce = Nonce(u64::from(number) + 1_000);
        update_config(&other, nonce, |current| add_key(number).apply(current)).unwrap();
        *self.object.borrow_mut() = other.object.into_inner();
    }
}

impl ObjectStore for FakeStore {
    fn call(&self, request: &PlatformRequest) -> Result<PlatformAnswer, PlatformError> {
        let PlatformRequest::Put {
            expected_version,
            value,
            ..
        } = request
        else {
            let (version, value) = self.object.borrow().clone();
            return Ok(PlatformAnswer::Object { version, value });
        };
        let lost = || Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        let step = self
            .steps
            .borrow_mut()
            .pop_front()
            .unwrap_or(WriteStep::Serve);
        match step {
            WriteStep::LoseRequest => return lost(),
            WriteStep::Race(number) => self.add_key_concurrently(number),
            _ => {}
        }
        let answer = self.write(*expected_version, value.clone());
        match step {
            WriteStep::LoseAnswer => lost(),
            WriteStep::LoseAnswerThenRace(number) => {
                self.add_key_concurrently(number);
                lost()
            }
            _ => Ok(answer),
        }
    }

    fn pause(&self, _attempt: u32) {}
}

fn key(number: u8) -> KeyDigest {
    TenantKey::new([number]).digest()
}

fn add_key(number: u8) -> OperatorChange {
    OperatorChange::AddKey {
        workspace: "acme".into(),
        key: key(number),
    }
}

fn withdraw_key(number: u8) -> OperatorChange {
    OperatorChange::WithdrawKey {
        workspace: "acme".into(),
        key: key(number),
    }
}

fn workspace(rate_per_s: u32, keys: &[u8]) -> Workspace {
    Workspace {
        keys: keys.iter().map(|number| key(*number)).collect(),
        rate_per_s,
        burst: 10,
        weight: 1,
    }
}

fn config(workspaces: &[(&str, Workspace)]) -> Config {
    let east = ("east".into(), DataCentre::default());
    Config {
        version: 1,
        workspaces: workspaces
            .iter()
            .map(|(name, workspace)| ((*name).into(), workspace.clone()))
            .collect(),
        data_centres: [east].into(),
        ..Config::default()
    }
}

fn acme() -> Config {
    config(&[("acme", workspace(5, &[1]))])
}

fn published(config: Config) -> PublishedConfig {
    PublishedConfig {
        config,
        ..PublishedConfig::default()
    }
}

fn take_east_out() -> OperatorChange {
    OperatorChange::SetDataCentre {
        data_centre: "east".into(),
        state: DataCentreState::Out,
    }
}

fn take_east_out_in(store: &FakeStore) -> Result<UpdateResult, UpdateError<ChangeError>> {
    update_config(store, Nonce(7), |current| take_east_out().apply(current))
}

fn east_is_out(config: &PublishedConfig) -> bool {
    config.config.data_centres["east"].state == DataCentreState::Out
}

#[test]
fn own_write_is_recognised_after_a_lost_response() {
    let store = FakeStore::new(acme(), [WriteStep::LoseAnswer]);
    let updated = take_east_out_in(&store).unwrap();
    assert_eq!((updated.version, updated.changed), (2, true));
    assert_eq!(store.object.borrow().0, 2);
}

#[test]
fn own_write_is_recognised_after_another_operators_change() {
    let store = FakeStore::new(acme(), [WriteStep::LoseAnswerThenRace(9)]);
    assert!(take_east_out_in(&store).unwrap().changed);
    let current = store.current();
    assert!(east_is_out(&current));
    assert_eq!(current.config.version, 3);
    assert_eq!(current.config.workspaces["acme"].keys, [key(1), key(9)]);
}

#[test]
fn repeatedly_lost_requests_end_with_an_unknown_outcome() {
    let store = FakeStore::new(acme(), [WriteStep::LoseRequest; 30]);
    assert!(matches!(
        take_east_out_in(&store),
        Err(UpdateError::OutcomeUnknown)
    ));
}

#[test]
fn repeated_conflicts_end_without_a_change() {
    let store = FakeStore::new(acme(), (0..100).map(WriteStep::Race));
    assert!(matches!(
        take_east_out_in(&store),
        Err(UpdateError::TooManyConflicts)
    ));
    assert!(!east_is_out(&store.current()));
}

#[test]
fn unknown_names_and_changes_already_in_force_write_nothing() {
    let store = FakeStore::new(acme(), []);
    let change = OperatorChange::AddKey {
        workspace: "globex".into(),
        key: key(1),
    };
    let refused = update_config(&store, Nonce(1), |current| change.apply(current));
    assert!(matches!(refused, Err(UpdateError::Refused(_))));
    take_east_out_in(&store).unwrap();
    let again = update_config(&store, Nonce(8), |current| take_east_out().apply(current)).unwrap();
    assert_eq!((again.version, again.changed), (2, false));
    assert_eq!(store.object.borrow().0, 2);
}

#[test]
fn publication_keeps_changes_of_operators() {
    let mut current = published(acme());
    for change in [take_east_out(), add_key(2), withdraw_key(1)] {
        current = change.apply(&current).unwrap();
    }
    let files = config(&[("acme", workspace(50, &[1, 3]))]);
    let next = Publication::new(current.clone(), files)
        .apply(&current)
        .unwrap();
    assert!(east_is_out(&next));
    assert_eq!(next.config.workspaces["acme"].rate_per_s, 50);
    assert_eq!(next.config.workspaces["acme"].keys, [key(3), key(2)]);
}

#[test]
fn key_withdrawn_while_a_publication_runs_stays_withdrawn() {
    let base = published(acme());
    let files = config(&[("acme", workspace(50, &[1, 3]))]);
    let publication = Publication::new(base.clone(), files);
    let mut current = base;
    for change in [withdraw_key(1), withdraw_key(3), add_key(4)] {
        current = change.apply(&current).unwrap();
    }
    let next = publication.apply(&current).unwrap();
    assert_eq!(next.config.workspaces["acme"].keys, [key(4)]);
}

#[test]
fn concurrent_publications_keep_each_others_entries_or_report_the_conflict() {
    let base = published(acme());
    let with_globex = config(&[("acme", workspace(5, &[1])), ("globex", workspace(1, &[]))]);
    let faster_acme = config(&[("acme", workspace(6, &[1]))]);
    let slower_acme = config(&[("acme", workspace(4, &[1]))]);
    let first = Publication::new(base.clone(), with_globex)
        .apply(&base)
        .unwrap();
    let second = Publication::new(base.clone(), faster_acme)
        .apply(&first)
        .unwrap();
    assert_eq!(second.config.workspaces.len(), 2);
    assert_eq!(second.config.workspaces["acme"].rate_per_s, 6);
    let conflict = Publication::new(base, slower_acme)
        .apply(&second)
        .unwrap_err();
    assert_eq!(
        conflict.to_string(),
        "another publication has changed workspace `acme` in a different way"
    );
}

#[test]
fn vms_read_the_published_object_as_a_plain_configuration() {
    let mut published = published(acme());
    published
        .operator
        .keys_added
        .insert("acme".into(), vec![key(2)]);
    let plain: Config = serde_json::from_slice(&published.to_value()).unwrap();
    assert_eq!(plain.workspaces.len(), 1);
    assert!(PublishedConfig::from_value(&published.to_value()).unwrap() == published);
}

#[test]
fn value_that_is_not_a_configuration_is_never_overwritten() {
    let store = FakeStore::default();
    *store.object.borrow_mut() = (4, b"[]".to_vec());
    assert!(read_config(&store).is_err());
    assert!(matches!(
        take_east_out_in(&store),
        Err(UpdateError::Platform(_))
    ));
    assert_eq!(store.object.borrow().1, b"[]");
}

fn any_write_step() -> impl Strategy<Value = WriteStep> {
    prop_oneof![
        Just(WriteStep::Serve),
        Just(WriteStep::LoseAnswer),
        Just(WriteStep::LoseRequest),
        (10u8..200).prop_map(WriteStep::Race),
        (10u8..200).prop_map(WriteStep::LoseAnswerThenRace),
    ]
}

proptest! {
    #[test]
    fn no_accepted_change_is_lost(steps in prop::collection::vec(any_write_step(), 0..30)) {
        let store = FakeStore::new(acme(), steps.clone());
        let result = take_east_out_in(&store);
        let current = store.current();
        let used = steps.len() - store.steps.borrow().len();
        for step in &steps[..used] {
            if let WriteStep::Race(number) | WriteStep::LoseAnswerThenRace(number) = step {
                prop_assert!(current.config.workspaces["acme"].keys.contains(&key(*number)));
            }
        }
        match result {
            Ok(updated) => prop_assert!(east_is_out(&current) && updated.changed),
            Err(UpdateError::OutcomeUnknown) => {}
            Err(error) => prop_assert!(!east_is_out(&current), "{error}"),
        }
        // Each accepted write must increment the configuration's version, as it does the object's.
        prop_assert_eq!(current.config.version, store.object.borrow().0);
    }

    #[test]
    fn decoding_mutated_objects_never_panics(index in 0usize..1_000, byte: u8) {
        let mut value = published(acme()).to_value();
        let index = index % value.len();
        value[index] = byte;
        let _ = PublishedConfig::from_value(&value);
    }
}
