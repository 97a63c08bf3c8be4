//! Reloads the settings of a running process.

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
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address of the platform's interface that promotes members.
    pub promotion: SocketAddr,
    /// Time from the stop request until the platform kills the process.
    pub stop_grace: Duration,
    /// How long keys remain valid without contact to the store, or `None` for no limit.
    pub key_ttl: Option<Duration>,
}

/// The result of reading the settings again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReloadedSettings {
    /// The settings that take effect without a restart.
    pub reloadable: ReloadableSettings,
    /// Whether other settings differ from those that the process was started with.
    pub needs_restart: bool,
}

/// A source of settings that can be read again, such as a file.
pub trait SettingsSource {
    /// Returns when the settings were last modified, or `None` if that is unknown.
    fn modified_at(&self) -> Option<SystemTime>;

    /// Reads the settings again.
    ///
    /// # Errors
    ///
    /// Returns a description of the errors when the settings cannot be used.
    fn read(&self) -> Result<ReloadedSettings, String>;
}

impl Driver {
    /// Reloads the settings on a signal.
    pub(crate) fn reload_signal_received(&mut self, cx: CX![], _: Ready) {
        self.reload(cx);
    }

    /// Reloads the settings if they were modified, so that a change also takes effect without a
    /// signal.
    pub(crate) fn reload_if_modified(&mut self, cx: CX![]) {
        if self.settings.modified_at() != self.settings_modified_at {
            self.reload(cx);
        }
    }

    /// Reads the settings again; the current ones stay in force when the new ones cannot be used.
    fn reload(&mut self, cx: CX![]) {
        self.settings_modified_at = self.settings.modified_at();
        let read = self.settings.read();
        let result = match &read {
            Err(error) => error.as_str(),
            Ok(changed) if changed.needs_restart => {
                "in force, except for settings that need a restart"
            }
            Ok(_) => "in force",
        };
        emit(&events::SETTINGS_RELOADED, &[FieldValue::from(result)]);
        self.write_log();
        if let Ok(changed) = read {
            self.apply(cx, changed.reloadable);
        }
    }

    fn apply(&mut self, cx: CX![], reloadable: ReloadableSettings) {
        self.pool
            .set_reloadable_settings(reloadable.stop_grace, reloadable.key_ttl);
        self.addresses.promotion = reloadable.promotion;
        if self.addresses.store != reloadable.store {
            self.change_store_address(cx, reloadable.store);
        }
    }
}
