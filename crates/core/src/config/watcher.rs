//! Distribution of the published configuration, from the platform and between VMs.
//!
//! The platform orders the versions, because every change is a conditional update of one object.
//! A VM applies a version only if it is newer than its own, whatever the source, so the
//! configuration never reverts to an older version. Each relay keeps one long poll open at the
//! platform. All VMs compare versions with one peer at a time, so that the next comparison makes
//! up for a lost message and the load on the platform does not grow with the number of VMs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::config::Config;
use crate::config::ConfigMessage;
use crate::config::ConfigWatcherAction;
use crate::config::ConfigWatcherEvent;
use crate::config::pending_confirmation::PendingConfirmation;
use crate::types::MonoTime;
use crate::types::VmId;
use crate::vm::PlatformAnswer;
use crate::vm::PlatformRequest;

/// The name of the platform object that contains the configuration.
pub const CONFIG_OBJECT: &str = "config";

/// The mean interval between comparisons of versions with one peer. Also the least interval
/// between requests to one peer for a whole configuration.
const COMPARE_INTERVAL: Duration = Duration::from_millis(200);
/// The age of the last confirmation from which a VM that is not a relay reads the platform
/// itself.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_000);
/// The delay after the first failed platform call; doubled with each failure up to
/// `MAX_RETRY_DELAY`.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The maximum delay between platform calls while the platform does not answer.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(5_000);

/// Keeps the configuration of one VM up to date with the published one.
#[derive(Debug)]
pub struct ConfigWatcher {
    config: Option<Arc<Config>>,
    object_version: u64,
    /// The latest time at which the platform is known to have had no newer version than the one in
    /// force.
    confirmed_at: Option<MonoTime>,
    peers: Vec<VmId>,
    next_peer_index: usize,
    is_relay: bool,
    call_sent_at: Option<MonoTime>,
    next_call_at: MonoTime,
    next_comparison_at: MonoTime,
    retry_delay: Duration,
    last_pull_at: BTreeMap<VmId, MonoTime>,
    /// Set when the lease is gained, until the version in force is confirmed.
    pending_confirmation: Option<PendingConfirmation>,
    rng: ChaCha8Rng,
}

impl ConfigWatcher {
    /// Creates a watcher without a configuration. `rng` draws the jitter of intervals and delays.
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            config: None,
            object_version: 0,
            confirmed_at: None,
            peers: Vec::new(),
            next_peer_index: 0,
            is_relay: false,
            call_sent_at: None,
            next_call_at: MonoTime::ZERO,
            next_comparison_at: MonoTime::ZERO,
            retry_delay: MIN_RETRY_DELAY,
            last_pull_at: BTreeMap::new(),
            pending_confirmation: None,
            rng,
        }
    }

    /// Returns the configuration in force, or `None` before the first one is received.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the version in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns when `ConfigWatcherEvent::Tick` must be reported next.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let call = self.call_sent_at.is_none().then_some(self.next_call_at);
        let request = self
            .pending_confirmation
            .as_ref()
            .map(PendingConfirmation::next_request_at);
        call.into_iter()
            .chain([self.next_comparison_at])
            .chain(request)
            .min()
    }

    /// Returns whether the version in force may be used, that is, whether no version is missing
    /// that was published before the lease was gained. While the platform does not answer it
    /// accepts no new versions, so agreement of a majority of the VMs is enough.
    pub fn is_confirmed(&self, platform_serves: bool) -> bool {
        let agreed = |pending: &PendingConfirmation| {
            !platform_serves && pending.has_majority(self.peers.len())
        };
        self.pending_confirmation.as_ref().is_none_or(agreed)
    }

    /// Handles an event and appends the actions that follow from it.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: ConfigWatcherEvent,
        actions: &mut Vec<ConfigWatcherAction>,
    ) {
        match event {
            ConfigWatcherEvent::Tick => {}
            ConfigWatcherEvent::PeersChanged { peers } => self.peers = peers,
            ConfigWatcherEvent::RelayChanged { is_relay } => self.set_relay(now, is_relay),
            ConfigWatcherEvent::LeaseGained => self.require_confirmation(now),
            ConfigWatcherEvent::PlatformAnswered { answer } => {
                self.handle_platform_answer(now, answer, actions)
            }
            ConfigWatcherEvent::PeerReceived { from, message } => {
                self.handle_peer_message(now, from, message, actions);
            }
        }
        self.call_platform_if_due(now, actions);
        self.compare_versions_if_due(now, actions);
        self.request_confirmations(now, actions);
    }

    fn require_confirmation(&mut self, now: MonoTime) {
        self.call_sent_at = None;
        self.next_call_at = now;
        let confirmed = self.confirmed_at;
        self.pending_confirmation = (!confirmed
            .is_some_and(|at| PendingConfirmation::is_recent_enough(now, at)))
        .then(|| PendingConfirmation::new(now));
    }

    fn request_confirmations(&mut self, now: MonoTime, actions: &mut Vec<ConfigWatcherAction>) {
        let version = self.version();
        if self
            .pending_confirmation
            .as_mut()
            .is_some_and(|pending| pending.take_due_request(now))
        {
            actions.extend(self.peers.iter().map(|to| ConfigWatcherAction::SendPeer {
                to: to.clone(),
                message: ConfigMessage::Ask { version },
            }));
        }
    }

    fn set_relay(&mut self, now: MonoTime, is_relay: bool) {
        if is_relay && !self.is_relay {
            self.next_call_at = self.next_call_at.min(now);
        }
        self.is_relay = is_relay;
    }

    fn handle_platform_answer(
        &mut self,
        now: MonoTime,
        answer: PlatformAnswer,
        actions: &mut Vec<ConfigWatcherAction>,
    ) {
        let Some(sent_at) = self.call_sent_at.take() else {
            return;
        };
        match answer {
            PlatformAnswer::Unreachable => return self.schedule_retry(now),
            PlatformAnswer::Object { version, value } => {
                self.handle_object_value(now, version, &value, actions);
            }
            PlatformAnswer::Unchanged { .. } => {}
            PlatformAnswer::Updated { .. } | PlatformAnswer::Conflict { .. } => return,
        }
        self.record_confirmation(sent_at);
        self.retry_delay = MIN_RETRY_DELAY;
        self.next_call_at = if self.is_relay {
            now
        } else {
            now + MAX_CONFIRMATION_AGE
        };
    }

    fn schedule_retry(&mut self, now: MonoTime) {
        let jitter = self.rng.random_range(0.5..1.0);
        self.next_call_at = now + self.retry_delay.mul_f64(jitter);
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }

    fn handle_object_value(
        &mut self,
        now: MonoTime,
        object_version: u64,
        value: &[u8],
        actions: &mut Vec<ConfigWatcherAction>,
    ) {
        if value.is_empty() {
            return;
        }
        self.object_version = self.object_version.max(object_version);
        match serde_json::from_slice::<Config>(value) {
            Ok(config) => self.apply(now, Arc::new(config), actions),
            Err(error) => {
                let cause = error.to_string();
                actions.push(ConfigWatcherAction::RejectValue {
                    object_version,
                    cause,
                });
            }
        }
    }

    fn apply(
        &mut self,
        now: MonoTime,
        config: Arc<Config>,
        actions: &mut Vec<ConfigWatcherAction>,
    ) {
        if config.version <= self.version() {
            return;
        }
        self.config = Some(Arc::clone(&config));
        actions.push(ConfigWatcherAction::Apply(config));
        self.next_comparison_at = now;
        if self.is_relay {
            self.push_to_all_peers(actions);
        }
    }

    fn push_to_all_peers(&self, actions: &mut Vec<ConfigWatcherAction>) {
        let Some(config) = &self.config else { return };
        actions.extend(self.peers.iter().map(|to| ConfigWatcherAction::SendPeer {
            to: to.clone(),
            message: ConfigMessage::Push {
                config: Arc::clone(config),
            },
        }));
    }

    fn handle_peer_message(
        &mut self,
        now: MonoTime,
        from: VmId,
        message: ConfigMessage,
        actions: &mut Vec<ConfigWatcherAction>,
    ) {
        let held = self.version();
        match message {
            ConfigMessage::Push { config } => self.apply(now, config, actions),
            ConfigMessage::Pull { version } => self.push_if_newer(from, version, actions),
            ConfigMessage::Ask { version } if version < self.version() => {
                self.push_if_newer(from, version, actions);
            }
            ConfigMessage::Ask { .. } => actions.push(ConfigWatcherAction::SendPeer {
                to: from,
                message: self.version_message(now),
            }),
            ConfigMessage::Version {
                version,
                confirmed_age_ms,
            } => {
                if let Some(pending) = self
                    .pending_confirmation
                    .as_mut()
                    .filter(|_| version <= held)
                {
                    pending.record_agreement(from.clone());
                }
                if version == self.version() {
                    if let Some(age_ms) = confirmed_age_ms {
                        self.record_confirmation(now - Duration::from_millis(age_ms));
                    }
                } else if version < self.version() {
                    self.push_if_newer(from, version, actions);
                } else {
                    self.pull_if_due(now, from, actions);
                }
            }
        }
    }

    fn push_if_newer(&self, to: VmId, known_version: u64, actions: &mut Vec<ConfigWatcherAction>) {
        let Some(config) = &self.config else { return };
        if config.version > known_version {
            let message = ConfigMessage::Push {
                config: Arc::clone(config),
            };
            actions.push(ConfigWatcherAction::SendPeer { to, message });
        }
    }

    /// Requests the configuration from one peer at most once per comparison interval, because it
    /// can be large.
    fn pull_if_due(&mut self, now: MonoTime, from: VmId, actions: &mut Vec<ConfigWatcherAction>) {
        let recent = self
            .last_pull_at
            .get(&from)
            .is_some_and(|at| now.since(*at) < COMPARE_INTERVAL);
        if recent {
            return;
        }
        self.last_pull_at
            .retain(|_, at| now.since(*at) < COMPARE_INTERVAL);
        self.last_pull_at.insert(from.clone(), now);
        let message = ConfigMessage::Pull {
            version: self.version(),
        };
        actions.push(ConfigWatcherAction::SendPeer { to: from, message });
    }

    fn record_confirmation(&mut self, at: MonoTime) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.pending_confirmation
            .take_if(|pending| pending.is_fulfilled_by(at));
    }

    /// Calls the platform if this VM is a relay or has no recent confirmation of its version. A
    /// VM without a configuration sends 0 as its known version, so that the platform returns the
    /// value.
    fn call_platform_if_due(&mut self, now: MonoTime, actions: &mut Vec<ConfigWatcherAction>) {
        let confirmed = self
            .confirmed_at
            .is_some_and(|at| self.config.is_some() && now.since(at) < MAX_CONFIRMATION_AGE);
        if self.call_sent_at.is_some() || now < self.next_call_at {
            return;
        }
        if confirmed && !self.is_relay && self.pending_confirmation.is_none() {
            self.next_call_at = now + MAX_CONFIRMATION_AGE;
            return;
        }
        let object = CONFIG_OBJECT.to_owned();
        let known_version = if self.config.is_some() {
            self.object_version
        } else {
            0
        };
        let request =
            if self.is_relay && self.config.is_some() && self.pending_confirmation.is_none() {
                PlatformRequest::Watch {
                    object,
                    known_version,
                }
            } else {
                PlatformRequest::Get {
                    object,
                    known_version,
                }
            };
        self.call_sent_at = Some(now);
        actions.push(ConfigWatcherAction::CallPlatform(request));
    }

    fn compare_versions_if_due(&mut self, now: MonoTime, actions: &mut Vec<ConfigWatcherAction>) {
        if now < self.next_comparison_at {
            return;
        }
        self.next_comparison_at = now + COMPARE_INTERVAL.mul_f64(self.rng.random_range(0.75..1.25));
        let Some(to) = self.next_peer() else { return };
        let message = self.version_message(now);
        actions.push(ConfigWatcherAction::SendPeer { to, message });
    }

    fn version_message(&self, now: MonoTime) -> ConfigMessage {
        ConfigMessage::Version {
            version: self.version(),
            confirmed_age_ms: self.confirmed_at.map(|at| age_ms(now, at)),
        }
    }

    fn next_peer(&mut self) -> Option<VmId> {
        let index = self.next_peer_index.checked_rem(self.peers.len())?;
        self.next_peer_index = index + 1;
        self.peers.get(index).cloned()
    }
}

/// Rounds up, so that a confirmation never appears more recent than it is.
fn age_ms(now: MonoTime, at: MonoTime) -> u64 {
    u64::try_from(now.since(at).as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
