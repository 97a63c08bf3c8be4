//! Queries to the operator endpoints of the VMs.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use lycheedoor_core::timeline::Export;
use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::timeline::Process;
use lycheedoor_core::types::Incarnation;
use lycheedoor_http::Response;
use lycheedoor_operator::OperatorError;
use lycheedoor_operator::Status;
use lycheedoor_operator::decode_status;
use lycheedoor_operator::decode_timeline;
use lycheedoor_operator::encode_status_request;
use lycheedoor_operator::encode_timeline_request;
use lycheedoor_platform::Client;
use lycheedoor_platform::PlatformError;
use lycheedoor_platform::VmListing;
use lycheedoor_platform::VmState;

use crate::error::CtlError;

/// The most pages that are read of one VM's timeline. Without a limit, reading a VM that records
/// events faster than they are read would never end.
const MAX_PAGES: u32 = 10_000;

/// Why a VM's status or timeline cannot be shown.
#[derive(Debug, thiserror::Error)]
pub(crate) enum VmError {
    #[error("does not answer")]
    Unreachable(#[from] PlatformError),
    #[error(transparent)]
    Answer(#[from] OperatorError),
}

/// Returns the VMs named on the command line, or else those that the platform lists.
pub(crate) fn vms(command: &ArgMatches) -> Result<Vec<VmListing>, CtlError> {
    match command.get_many::<SocketAddr>("vm-address") {
        Some(addresses) => Ok(addresses.map(listing_of_address).collect()),
        None => Ok(crate::client(command)?.list_vms()?),
    }
}

/// Returns a listing of a VM of which only the operator address is known; the address stands in for
/// its name.
fn listing_of_address(address: &SocketAddr) -> VmListing {
    VmListing {
        vm: address.to_string().as_str().into(),
        data_centre: "-".into(),
        peer_address: *address,
        operator_address: *address,
        state: VmState::Live,
    }
}

/// Queries the status of each VM.
pub(crate) fn fetch_statuses(
    vms: &[VmListing],
    timeout: Duration,
) -> Vec<(VmListing, Result<Status, VmError>)> {
    vms.iter()
        .map(|vm| (vm.clone(), fetch_status(vm, timeout)))
        .collect()
}

fn fetch_status(vm: &VmListing, timeout: Duration) -> Result<Status, VmError> {
    let mut request = Vec::new();
    encode_status_request(&mut request);
    Ok(decode_status(&exchange(vm, timeout, &request)?)?)
}

/// Reads the whole timeline of each VM. If a VM stops answering, this is reported on standard
/// error, and the exports of the VM are marked as incomplete.
pub(crate) fn fetch_timelines(vms: &[VmListing], timeout: Duration) -> Vec<Export> {
    vms.iter()
        .flat_map(|vm| fetch_timeline(vm, timeout))
        .collect()
}

fn fetch_timeline(vm: &VmListing, timeout: Duration) -> Vec<Export> {
    let mut pages: Vec<Export> = Vec::new();
    let mut since = 0;
    for _ in 0..MAX_PAGES {
        match fetch_page(vm, timeout, since) {
            Ok(page) => {
                // Without this check, reading a VM whose sequence does not advance would never end.
                let is_last = page.records.is_empty() || page.next_sequence <= since;
                since = page.next_sequence;
                pages.push(page);
                if is_last {
                    break;
                }
            }
            Err(error) => {
                eprintln!("lycheedoor-ctl: {}: {error}", vm.vm);
                if pages.is_empty() {
                    pages.push(empty_export(vm));
                }
                pages.iter_mut().for_each(|page| page.reached = false);
                break;
            }
        }
    }
    pages
}

/// Returns an export without records that marks a VM as not reached.
fn empty_export(vm: &VmListing) -> Export {
    Export {
        process: Process {
            vm: vm.vm.clone(),
            incarnation: Incarnation::default(),
            data_centre: vm.data_centre.clone(),
        },
        from_sequence: 0,
        next_sequence: 0,
        taken_at: HybridTime::default(),
        reached: false,
        records: Vec::new(),
    }
}

fn fetch_page(vm: &VmListing, timeout: Duration, since: u64) -> Result<Export, VmError> {
    let mut request = Vec::new();
    encode_timeline_request(since, &mut request);
    Ok(decode_timeline(&exchange(vm, timeout, &request)?)?)
}

fn exchange(vm: &VmListing, timeout: Duration, request: &[u8]) -> Result<Response, VmError> {
    Ok(Client::new(vm.operator_address, timeout).exchange(request)?)
}

/// Returns the timeout of a call to the platform or a VM.
pub(crate) fn timeout(command: &ArgMatches) -> Duration {
    Duration::from_millis(command.get_one("timeout-ms").copied().unwrap_or_default())
}
