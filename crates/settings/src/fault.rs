//! Errors and warnings about files, and reports that list all of them.

use std::fmt;
use std::ops::Range;
use std::sync::Arc;

use miette::Diagnostic;
use miette::GraphicalReportHandler;
use miette::GraphicalTheme;
use miette::LabeledSpan;
use miette::Severity;
use miette::SourceCode;

use crate::source::MaskedText;
use crate::source::Source;

/// The width of a rendered report, in columns.
const REPORT_WIDTH: usize = 100;

/// An error or warning about a place in a file.
#[derive(Clone, Debug)]
pub struct Fault {
    message: String,
    severity: Severity,
    file: String,
    line: usize,
    source: Arc<MaskedText>,
    span: Range<usize>,
}

impl Fault {
    pub(crate) fn error(source: &Source, span: Range<usize>, message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            severity: Severity::Error,
            file: source.name().into(),
            line: source.line_number(span.start),
            source: source.masked(),
            span: source.clamp(&span),
        }
    }

    pub(crate) fn warning(source: &Source, span: Range<usize>, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(source, span, message)
        }
    }

    pub(crate) fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }

    /// Returns what is wrong, without the file and line.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the file's name as given in [`InputFile`](crate::InputFile).
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the line number in the file, counted from 1.
    pub fn line(&self) -> usize {
        self.line
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Fault {}

impl Diagnostic for Fault {
    fn severity(&self) -> Option<Severity> {
        Some(self.severity)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&*self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::underline(self.span.clone());
        Some(Box::new(std::iter::once(label)))
    }
}

/// All errors and warnings about one or more files.
#[derive(Clone, Debug)]
pub struct Report {
    faults: Vec<Fault>,
}

impl Report {
    pub(crate) fn new(mut faults: Vec<Fault>) -> Self {
        faults.sort_by(|a, b| (&a.file, a.span.start).cmp(&(&b.file, b.span.start)));
        Self { faults }
    }

    /// Returns the errors and warnings, sorted by file and position.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Returns the report as text without colours.
    pub fn render(&self) -> String {
        let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
            .with_width(REPORT_WIDTH)
            .with_context_lines(1);
        let mut text = String::new();
        for fault in &self.faults {
            // Writing to a `String` cannot fail; a span outside of the source only omits the
            // excerpt of the file.
            let _ = handler.render_report(&mut text, fault);
        }
        text
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let errors = self.faults.iter().filter(|fault| fault.is_error()).count();
        let warnings = self.faults.len() - errors;
        write!(f, "{errors} errors and {warnings} warnings")
    }
}

impl std::error::Error for Report {}

impl Diagnostic for Report {
    fn related(&self) -> Option<Box<dyn Iterator<Item = &dyn Diagnostic> + '_>> {
        Some(Box::new(
            self.faults.iter().map(|fault| fault as &dyn Diagnostic),
        ))
    }
}
