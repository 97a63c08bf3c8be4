//! Reads the sections of one declaration file.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Range;

use lycheedoor_core::config::DataCentre;
use lycheedoor_core::config::Group;
use lycheedoor_core::config::Member;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::config::Route;
use lycheedoor_core::config::Workspace;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::WorkspaceId;
use toml::de::DeTable;

use crate::declaration::declaration_set::DeclarationKind;
use crate::declaration::declaration_set::DeclarationSet;
use crate::fault::Fault;
use crate::parse;
use crate::reader::Entry;
use crate::reader::TableReader;
use crate::source::Source;

/// The largest rate, burst, weight, slot count and connection count.
const MAX_COUNT: u32 = 10_000_000;

/// The longest timeout and maximum age, in milliseconds.
const MAX_DURATION_MS: u32 = 3_600_000;

const DEFAULT_TIMEOUT_MS: u32 = 5_000;

/// The most session secrets in use at once: the one that signs, and one that is being replaced.
const MAX_SESSION_SECRETS: usize = 2;

/// Reads one file and adds its declarations to those of the other files.
struct FileReader<'a, 'g, 'f> {
    source: &'a Source,
    root: TableReader<'a, 'f>,
    declarations: &'g mut DeclarationSet<'a>,
}

pub(super) fn read_file<'a>(
    source: &'a Source,
    table: &'a DeTable<'a>,
    declarations: &mut DeclarationSet<'a>,
    faults: &mut Vec<Fault>,
) {
    let mut reader = FileReader {
        source,
        root: TableReader::new(source, Some(table), 0..0, faults),
        declarations,
    };
    reader.read_workspaces();
    reader.read_groups();
    reader.read_routes();
    reader.read_data_centres();
    reader.read_session();
    reader.root.reject_unknown_keys();
}

impl<'a> FileReader<'a, '_, '_> {
    fn declare(&mut self, kind: DeclarationKind, entry: &Entry<'a>) {
        let fault = self
            .declarations
            .declare(kind, entry.name, self.source, entry.span.clone());
        self.root.add_fault(fault);
    }

    fn read_workspaces(&mut self) {
        for entry in self.root.entries("workspace") {
            self.declare(DeclarationKind::Workspace, &entry);
            if let Some(workspace) = read_workspace(self.root.entry_reader(&entry)) {
                let name = entry.name.into();
                self.declarations
                    .workspaces
                    .entry(name)
                    .or_insert(workspace);
            }
        }
    }

    fn read_groups(&mut self) {
        for entry in self.root.entries("group") {
            self.declare(DeclarationKind::Group, &entry);
            let mut table = self.root.entry_reader(&entry);
            let slots = table.required("slots", parse::number(1..=MAX_COUNT));
            let connections = table.required("connections", parse::number(1..=MAX_COUNT));
            if connections < slots && connections.is_some() {
                let span = table.span_of("connections");
                table.warning(span, "fewer connections than slots: some slots stay unused");
            }
            let members = read_members(&mut table, self.source, self.declarations);
            table.reject_unknown_keys();
            if let (Some(slots), Some(connections)) = (slots, connections) {
                let group = Group {
                    members,
                    slots,
                    connections,
                };
                let name = GroupId::from(entry.name);
                self.declarations.groups.entry(name).or_insert(group);
            }
        }
    }

    fn read_routes(&mut self) {
        for entry in self.root.entries("route") {
            self.declare(DeclarationKind::Route, &entry);
            let table = self.root.entry_reader(&entry);
            if let Some(route) = read_route(table, self.source, self.declarations) {
                let name = entry.name.into();
                self.declarations.routes.entry(name).or_insert(route);
            }
        }
    }

    fn read_data_centres(&mut self) {
        for entry in self.root.entries("data_centre") {
            self.declare(DeclarationKind::DataCentre, &entry);
            self.root.entry_reader(&entry).reject_unknown_keys();
            let name = DataCentreId::from(entry.name);
            self.declarations
                .data_centres
                .insert(name, DataCentre::default());
        }
    }

    fn read_session(&mut self) {
        let Ok(Some(_)) = self.root.optional_section("session") else {
            return;
        };
        let span = self.root.span_of("session");
        let fault = self.declarations.declare(
            DeclarationKind::Session,
            "[session]",
            self.source,
            span.clone(),
        );
        self.root.add_fault(fault);
        let Some(mut table) = self.root.section("session") else {
            return;
        };
        let secrets = table.list("secrets", parse::secret);
        let count = secrets.as_ref().map(Vec::len);
        if count.is_some_and(|count| count == 0 || count > MAX_SESSION_SECRETS) {
            let message = format!("`secrets` must list 1 to {MAX_SESSION_SECRETS} secrets");
            table.error(table.span_of("secrets"), message);
        }
        table.reject_unknown_keys();
        self.declarations.session_secrets = without_spans(secrets.unwrap_or_default());
    }
}

fn read_workspace(mut table: TableReader<'_, '_>) -> Option<Workspace> {
    let keys = table.list("key_digests", parse::digest);
    let rate_per_s = table.required("rate_per_s", parse::number(1..=MAX_COUNT));
    let burst = table.required("burst", parse::number(1..=MAX_COUNT));
    let weight = table.optional("weight", 1, parse::number(1..=MAX_COUNT));
    table.reject_unknown_keys();
    Some(Workspace {
        keys: without_spans(keys?),
        rate_per_s: rate_per_s?,
        burst: burst?,
        weight: weight?,
    })
}

fn read_members<'a>(
    table: &mut TableReader<'a, '_>,
    source: &'a Source,
    declarations: &mut DeclarationSet<'a>,
) -> BTreeMap<MemberId, Member> {
    let entries = table.entries("members");
    if entries.is_empty() {
        table.error(
            table.span_of("members"),
            "a group needs at least one member",
        );
    }
    let mut members = BTreeMap::new();
    for entry in &entries {
        let mut member_table = table.entry_reader(entry);
        let address = member_table.required("address", parse::address);
        let data_centre = member_table.required("data_centre", parse::name::<DataCentreId>);
        if let Some(data_centre) = &data_centre {
            let span = member_table.span_of("data_centre");
            declarations.add_reference(
                DeclarationKind::DataCentre,
                data_centre.as_str(),
                source,
                span,
            );
        }
        if let Some(address) = address {
            let fault =
                declarations.declare_address(address, source, member_table.span_of("address"));
            member_table.add_fault(fault);
        }
        member_table.reject_unknown_keys();
        if let (Some(address), Some(data_centre)) = (address, data_centre) {
            let member = Member {
                address,
                data_centre,
                availability: MemberAvailability::Active,
            };
            members.insert(MemberId::from(entry.name), member);
        }
    }
    let data_centres: BTreeSet<_> = members.values().map(|member| &member.data_centre).collect();
    if data_centres.len() == 1 && members.len() == entries.len() {
        let span = table.span_of("members");
        table.warning(span, "all members are in one data centre");
    }
    members
}

fn read_route<'a>(
    mut table: TableReader<'a, '_>,
    source: &'a Source,
    declarations: &mut DeclarationSet<'a>,
) -> Option<Route> {
    let group = table.required("group", parse::name::<GroupId>);
    if let Some(group) = &group {
        declarations.add_reference(
            DeclarationKind::Group,
            group.as_str(),
            source,
            table.span_of("group"),
        );
    }
    let access = table.required("access", parse::access);
    let idempotent = table.optional("idempotent", false, parse::boolean);
    let max_age_ms = table.optional("max_age_ms", 0, parse::number(0..=MAX_DURATION_MS));
    let open = table.optional("open", false, parse::boolean);
    let workspaces = table.list("workspaces", parse::name::<WorkspaceId>);
    for (workspace, span) in workspaces.iter().flatten() {
        declarations.add_reference(
            DeclarationKind::Workspace,
            workspace.as_str(),
            source,
            span.clone(),
        );
    }
    let timeout_ms = table.optional(
        "timeout_ms",
        DEFAULT_TIMEOUT_MS,
        parse::number(1..=MAX_DURATION_MS),
    );
    table.reject_unknown_keys();
    Some(Route {
        group: group?,
        access: access?,
        idempotent: idempotent?,
        max_age_ms: max_age_ms?,
        open: open?,
        workspaces: without_spans(workspaces?),
        timeout_ms: timeout_ms?,
    })
}

fn without_spans<T>(list: Vec<(T, Range<usize>)>) -> Vec<T> {
    list.into_iter().map(|(value, _)| value).collect()
}
