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
pub struct ReloadableSettings {
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
pub struct ReloadedSettings {
    /// What takes effect at once.
    pub reloadable: ReloadableSettings,
    /// Whether other settings differ from those of the start.
    pub needs_restart: bool,
}

/// Where settings come from.
pub trait SettingsSource {
    /// Returns when the settings were changed last, if that can be told.
    fn modified_at(&self) -> Option<SystemTime>;

    /// Reads the settings again.
    ///
    /// # Errors
    ///
    /// Returns the faults of settings that cannot be used.
    fn read(&self) -> Result<ReloadedSettings, String>;
}

impl Driver {
    /// Takes the signal that says that the settings have changed.
    pub(crate) fn reload_signal_received(&mut self, cx: CX![], _: Ready) {
        self.reload(cx);
    }

    /// Reads the settings again if they have changed without a signal.
    pub(crate) fn reload_if_modified(&mut self, cx: CX![]) {
        if self.settings.modified_at() != self.settings_modified_at {
            self.reload(cx);
        }
    }

    /// Reads the settings again. Those in force stay when the new ones cannot be used.
    fn reload(&mut self, cx: CX![]) {
        self.settings_modified_at = self.settings.modified_at();
        let read = self.settings.read();
        let result = match &read {
            Err(error) => error.as_str(),
            Ok(changed) if changed.needs_restart => "in force, but for some that need a restart",
            Ok(_) => "in force",
        };
        emit(&events::SETTINGS_RELOADED, &[FieldValue::from(result)]);
        if let Ok(changed) = read {
            self.apply(cx, changed.reloadable);
        }
    }

    fn apply(&mut self, cx: CX![], reloadable: ReloadableSettings) {
        self.pool
            .set_limits(reloadable.stop_grace, reloadable.key_ttl);
        self.addresses.promotion = reloadable.promotion;
        if self.addresses.store != reloadable.store {
            self.change_store_address(cx, reloadable.store);
        }
    }
}
