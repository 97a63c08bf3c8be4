//! Collects what all files declare, with source positions for the checks across files.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;

use lycheedoor_core::config::Config;
use lycheedoor_core::config::DataCentre;
use lycheedoor_core::config::Group;
use lycheedoor_core::config::Route;
use lycheedoor_core::config::Workspace;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::RouteId;
use lycheedoor_core::types::WorkspaceId;

use crate::fault::Fault;
use crate::source::Source;

/// Kinds of declarations that others refer to or that may appear only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DeclarationKind {
    Workspace,
    Group,
    Route,
    DataCentre,
    Session,
}

impl DeclarationKind {
    fn label(self) -> &'static str {
        match self {
            Self::Workspace => "workspace",
            Self::Group => "group",
            Self::Route => "route",
            Self::DataCentre => "data centre",
            Self::Session => "section",
        }
    }
}

/// A name in a file that has to be declared in some file.
struct Reference<'a> {
    kind: DeclarationKind,
    name: String,
    source: &'a Source,
    span: Range<usize>,
}

/// The declarations of all files read so far.
#[derive(Default)]
pub(super) struct DeclarationSet<'a> {
    pub(super) workspaces: BTreeMap<WorkspaceId, Workspace>,
    pub(super) routes: BTreeMap<RouteId, Route>,
    pub(super) groups: BTreeMap<GroupId, Group>,
    pub(super) data_centres: BTreeMap<DataCentreId, DataCentre>,
    pub(super) session_secrets: Vec<String>,
    /// All declared names, including those with an invalid declaration, and the file and line of
    /// their first declaration.
    declared: BTreeMap<(DeclarationKind, String), String>,
    /// The addresses of members, and the file and line of their first declaration.
    addresses: BTreeMap<SocketAddr, String>,
    references: Vec<Reference<'a>>,
}

impl<'a> DeclarationSet<'a> {
    /// Records a declaration; returns a fault when the name is already declared.
    pub(super) fn declare(
        &mut self,
        kind: DeclarationKind,
        name: &str,
        source: &Source,
        span: Range<usize>,
    ) -> Option<Fault> {
        let location = format!("{}:{}", source.name(), source.line_number(span.start));
        let label = kind.label();
        if let Some(first) = self.declared.get(&(kind, name.to_owned())) {
            let message = format!("{label} `{name}` is declared twice; first at {first}");
            return Some(Fault::error(source, span, message));
        }
        self.declared.insert((kind, name.to_owned()), location);
        None
    }

    /// Records a member's address; returns a fault when another member has the same one.
    pub(super) fn declare_address(
        &mut self,
        address: SocketAddr,
        source: &Source,
        span: Range<usize>,
    ) -> Option<Fault> {
        let location = format!("{}:{}", source.name(), source.line_number(span.start));
        if let Some(first) = self.addresses.get(&address) {
            let message = format!("address is already used by another member; first at {first}");
            return Some(Fault::error(source, span, message));
        }
        self.addresses.insert(address, location);
        None
    }

    /// Records a reference to a name that has to be declared in some file.
    pub(super) fn add_reference(
        &mut self,
        kind: DeclarationKind,
        name: &str,
        source: &'a Source,
        span: Range<usize>,
    ) {
        self.references.push(Reference {
            kind,
            name: name.into(),
            source,
            span,
        });
    }

    /// Appends the faults that can be found only once all files are read. A missing `[session]`
    /// section is reported at the start of `last_source`, as it belongs to no file.
    pub(super) fn check_references(&self, last_source: &Source, faults: &mut Vec<Fault>) {
        for reference in &self.references {
            let key = (reference.kind, reference.name.clone());
            if !self.declared.contains_key(&key) {
                let label = reference.kind.label();
                let message = format!("{label} `{}` is not declared in any file", reference.name);
                faults.push(Fault::error(
                    reference.source,
                    reference.span.clone(),
                    message,
                ));
            }
        }
        if !self
            .declared
            .keys()
            .any(|(kind, _)| *kind == DeclarationKind::Session)
        {
            faults.push(Fault::error(
                last_source,
                0..0,
                "no file has a `[session]` section with secrets for session tokens",
            ));
        }
    }

    pub(super) fn into_config(self) -> Config {
        Config {
            version: 0,
            workspaces: self.workspaces,
            routes: self.routes,
            groups: self.groups,
            data_centres: self.data_centres,
            session_secrets: self.session_secrets,
        }
    }
}
