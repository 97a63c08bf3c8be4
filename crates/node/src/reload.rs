//! Settings that change while the process runs.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use lycheedoor_telemetry::FieldValue;
use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::events;
use stakker::CX;
use stakker_mio::Ready;

use crate::driver::Driver;

/// Settings that take effect without a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveSettings {
    /// The platform's store.
    pub store: SocketAddr,
    /// Where promotions are ordered.
    pub promotion: SocketAddr,
    /// Time from the request to stop until the process is killed.
    pub stop_grace: Duration,
    /// How long keys count without contact to the store; `None` without a limit.
    pub key_ttl: Option<Duration>,
}

/// What the settings file holds at a later time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangedSettings {
    /// What takes effect at once.
    pub live: LiveSettings,
    /// Whether other settings differ from those of the start.
    pub needs_restart: bool,
}

/// Where settings come from.
pub trait SettingsSource {
    /// Returns when the settings were changed last, if that can be told.
    fn modified(&self) -> Option<SystemTime>;

    /// Reads the settings again.
    ///
    /// # Errors
    ///
    /// Returns the faults of settings that cannot be used.
    fn read(&self) -> Result<ChangedSettings, String>;
}

impl Driver {
    /// Takes the signal that says that the settings have changed.
    pub(crate) fn reload_signal(&mut self, cx: CX![], _: Ready) {
        self.reload(cx);
    }

    /// Reads the settings again if they have changed without a signal.
    pub(crate) fn reload_if_modified(&mut self, cx: CX![]) {
        if self.settings.modified() != self.settings_modified {
            self.reload(cx);
        }
    }

    /// Reads the settings again. Those in force stay when the new ones cannot be used.
    fn reload(&mut self, cx: CX![]) {
        self.settings_modified = self.settings.modified();
        let read = self.settings.read();
        let result = match &read {
            Err(error) => error.as_str(),
            Ok(changed) if changed.needs_restart => "in force, but for some that need a restart",
            Ok(_) => "in force",
        };
        emit(&events::SETTINGS_RELOADED, &[FieldValue::from(result)]);
        if let Ok(changed) = read {
            self.apply(cx, changed.live);
        }
    }

    fn apply(&mut self, cx: CX![], live: LiveSettings) {
        self.pool.set_limits(live.stop_grace, live.key_ttl);
        self.addresses.promotion = live.promotion;
        if self.addresses.store != live.store {
            self.move_to_store(cx, live.store);
        }
    }
}
