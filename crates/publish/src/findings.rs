//! Findings about a valid configuration: entries that can never match, and settings without effect.

use lycheedoor_core::config::Config;
use lycheedoor_core::config::Route;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_settings::InputFile;
use miette::GraphicalReportHandler;
use miette::GraphicalTheme;
use miette::LabeledSpan;
use miette::MietteDiagnostic;
use miette::NamedSource;
use miette::Report;
use miette::Severity;

/// The width of a rendered finding, in columns.
const REPORT_WIDTH: usize = 100;

/// A warning about one declared entry.
pub(crate) struct Finding {
    kind: &'static str,
    name: String,
    message: &'static str,
}

impl Finding {
    fn new(kind: &'static str, name: impl ToString, message: &'static str) -> Self {
        Self {
            kind,
            name: name.to_string(),
            message,
        }
    }

    /// Returns the finding as text, at the header of its entry in the first file that has it.
    ///
    /// The excerpt is built from the entry's name, because the file's own line may hold a secret,
    /// such as a key in a comment.
    pub(crate) fn render(&self, files: &[InputFile<'_>]) -> String {
        let header = format!("[{}.{}]", self.kind, self.name);
        let message = format!("{} `{}`: {}", self.kind, self.name, self.message);
        let mut diagnostic = MietteDiagnostic::new(message).with_severity(Severity::Warning);
        let found = files
            .iter()
            .find_map(|file| Some((file.name, self.line_index(file.text)?)));
        if let Some((_, line_index)) = found {
            let span = line_index..line_index + header.len();
            diagnostic = diagnostic.with_label(LabeledSpan::underline(span));
        }
        let mut report = Report::new(diagnostic);
        if let Some((file, line_index)) = found {
            let excerpt = "\n".repeat(line_index) + &header;
            report = report.with_source_code(NamedSource::new(file, excerpt));
        }
        let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
            .with_width(REPORT_WIDTH)
            .with_context_lines(0);
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = handler.render_report(&mut text, report.as_ref());
        text
    }

    /// Returns the index of the line with the entry's header, or with that of a part of it. Entries
    /// that are declared without a header of their own have none.
    fn line_index(&self, text: &str) -> Option<usize> {
        let prefixes = [
            format!("[{}.{}]", self.kind, self.name),
            format!("[{}.{}.", self.kind, self.name),
            format!("[{}.\"{}\"", self.kind, self.name),
        ];
        text.lines().position(|line| {
            let line = line.trim_start();
            prefixes.iter().any(|prefix| line.starts_with(prefix))
        })
    }
}

/// Returns the findings about a configuration, by kind of entry and name.
pub(crate) fn find(config: &Config) -> Vec<Finding> {
    let mut findings = Vec::new();
    for name in config.workspaces.keys() {
        if config.routes.values().any(|route| route.open) {
            continue;
        }
        if !has_key(config, name) {
            let message = "has no key, and no route is open: all its callers are refused";
            findings.push(Finding::new("workspace", name, message));
        } else if !config.routes.values().any(|route| admits(route, name)) {
            let message = "no route admits it: all its callers are refused";
            findings.push(Finding::new("workspace", name, message));
        }
    }
    for (name, route) in &config.routes {
        let has_caller = |id: &WorkspaceId| has_key(config, id) && admits(route, id);
        if !route.open && !config.workspaces.keys().any(has_caller) {
            let message = "no workspace that it admits has a key: it can never be used";
            findings.push(Finding::new("route", name, message));
        }
        if route.open && !route.workspaces.is_empty() {
            let message = "`workspaces` has no effect: an open route serves every caller";
            findings.push(Finding::new("route", name, message));
        }
        if !route.is_read_only() && route.max_age_ms > 0 {
            let message = "`max_age_ms` has no effect: writes run on the primary";
            findings.push(Finding::new("route", name, message));
        }
    }
    for name in config.groups.keys() {
        if !config.routes.values().any(|route| route.group == *name) {
            let message = "no route uses it: it never gets a statement";
            findings.push(Finding::new("group", name, message));
        }
    }
    let members = || config.groups.values().flat_map(|g| g.members.values());
    for name in config.data_centres.keys() {
        if !members().any(|member| member.data_centre == *name) {
            let message = "no group has a member in it";
            findings.push(Finding::new("data_centre", name, message));
        }
    }
    findings
}

fn has_key(config: &Config, workspace: &WorkspaceId) -> bool {
    let found = config.workspaces.get(workspace);
    found.is_some_and(|workspace| !workspace.keys.is_empty())
}

fn admits(route: &Route, workspace: &WorkspaceId) -> bool {
    route.open || route.workspaces.is_empty() || route.workspaces.contains(workspace)
}
