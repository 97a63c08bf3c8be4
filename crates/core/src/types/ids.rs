//! Identifiers of VMs, workspaces, database groups, data centres, connections and requests.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(Arc::from(name))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name_id! {
    /// The name of a VM that runs the proxy; it stays the same across restarts.
    VmId
}
name_id! {
    /// The name of a workspace, the tenant to which keys, rate limits and fair shares apply.
    WorkspaceId
}
name_id! {
    /// The name of a database group, which is one primary and its replicas.
    GroupId
}
name_id! {
    /// The name of a target, which is one member of a database group.
    MemberId
}
name_id! {
    /// The name of a data centre, as the configuration declares it.
    DataCentreId
}
name_id! {
    /// The name of a route, which callers give when they connect.
    RouteId
}

number_id! {
    /// Distinguishes the starts of the same VM: each start has a different number.
    Incarnation
}
number_id! {
    /// Marks one conditional update, so that a VM recognises its own write when it reads the
    /// object again.
    Nonce
}
number_id! {
    /// Identifies a caller's connection on one VM; never reused within one incarnation.
    CallerId
}
number_id! {
    /// Identifies a statement on one VM; never reused within one incarnation.
    RequestId
}
number_id! {
    /// Identifies a connection from one VM to a target; never reused within one incarnation.
    ConnectionId
}
