//! Bodies of requests and responses.

use std::net::SocketAddr;

use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::value::Value;

/// The response body of a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectBody {
    /// The current version; 0 if the object does not exist.
    pub version: u64,
    /// The current value; empty if the object does not exist.
    pub value: Value,
}

/// The request body of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueBody {
    /// The value to store.
    pub value: Value,
}

/// The response body of a write, accepted or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionBody {
    /// The version that the write created, or the current version if that is not the expected one.
    pub version: u64,
}

/// One entry of a list of objects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectListing {
    /// The object's name, without percent-encoding.
    pub name: String,
    /// The object's current version.
    pub version: u64,
}

/// Whether the platform is about to stop a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is running, according to the platform's latest information.
    Live,
    /// The platform is about to stop the VM.
    Leaving,
}

/// One entry of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// The name by which VMs and operators refer to the VM.
    pub vm: VmId,
    /// The data centre in which the VM runs.
    pub data_centre: DataCentreId,
    /// The address on which the VM accepts connections of other VMs.
    pub peer_address: SocketAddr,
    /// The address on which the VM accepts connections of operator tools.
    pub operator_address: SocketAddr,
    /// Whether the platform is about to stop the VM.
    pub state: VmState,
}
