//! End-to-end check of read-your-writes: writes through one VM and reads the write through another.

use std::thread;
use std::time::Duration;

use crate::cli::WalkthroughSettings;
use crate::error::LoadError;
use crate::session::query_text;

/// The simulated time between a caller's disconnect and its connection to another VM. VMs query the
/// positions of idle replicas more often than this.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// Issues a number through the first VM and reads it back through the second.
///
/// # Errors
///
/// Returns an error if a connection or statement fails, or if the read does not return the write.
pub(crate) fn run(settings: &WalkthroughSettings) -> Result<(), LoadError> {
    let mut writer = settings.login.connect(settings.first, None)?;
    let issued = query_text(&mut writer, settings.first, "SELECT issue('invoices')")?;
    let token = query_text(&mut writer, settings.first, "SHOW lycheedoor.session")?;
    println!("issued number {issued} through {}", settings.first);
    drop(writer);
    thread::sleep(RECONNECT_DELAY);

    let read_login = settings.login.on_route(&settings.read_route);
    let mut reader = read_login.connect(settings.second, Some(&token))?;
    let seen = query_text(&mut reader, settings.second, "SELECT last('invoices')")?;
    println!(
        "read number {seen} through {} on route {}",
        settings.second, settings.read_route
    );
    if seen == issued {
        Ok(())
    } else {
        Err(LoadError::Unexpected {
            expected: format!("number {issued}"),
            found: seen,
        })
    }
}
