//! The text of files, and the masked text that reports show instead.

use std::iter;
use std::ops::Range;
use std::sync::Arc;

use miette::MietteError;
use miette::MietteSpanContents;
use miette::SourceCode;
use miette::SourceSpan;
use miette::SpanContents;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::fault::Fault;
use crate::keys;

/// A file to parse and check.
#[derive(Clone, Copy, Debug)]
pub struct InputFile<'a> {
    /// The name shown in reports.
    pub name: &'a str,
    /// The content, as TOML.
    pub text: &'a str,
}

/// The text of a file as reports show it.
///
/// The line index keeps a report with many faults fast: the sources of `miette` search the whole
/// text again for each fault.
#[derive(Debug)]
pub(crate) struct MaskedText {
    name: String,
    text: String,
    /// The offset of the first byte of each line.
    line_starts: Vec<usize>,
}

impl MaskedText {
    /// Returns the index of the line that contains a byte offset.
    fn line_index(&self, offset: usize) -> usize {
        self.line_starts
            .partition_point(|start| *start <= offset)
            .saturating_sub(1)
    }

    fn line_start(&self, line: usize) -> usize {
        let start = self.line_starts.get(line).copied();
        start.unwrap_or(self.text.len())
    }
}

impl SourceCode for MaskedText {
    fn read_span<'a>(
        &'a self,
        span: &SourceSpan,
        lines_before: usize,
        lines_after: usize,
    ) -> Result<Box<dyn SpanContents<'a> + 'a>, MietteError> {
        let span_end = span.offset() + span.len();
        if span_end > self.text.len() {
            return Err(MietteError::OutOfBounds);
        }
        let line = self.line_index(span.offset());
        let first_line = line.saturating_sub(lines_before);
        let end_line =
            self.line_index(span.offset() + span.len().saturating_sub(1)) + lines_after + 1;
        // Without context lines, `miette` expects only the span itself, and its column.
        let (start, column) = match lines_before {
            0 => (span.offset(), span.offset() - self.line_start(line)),
            _ => (self.line_start(first_line), 0),
        };
        let end = match lines_after {
            0 => span_end,
            _ => self.line_start(end_line),
        };
        Ok(Box::new(MietteSpanContents::new_named(
            self.name.clone(),
            &self.text.as_bytes()[start..end],
            (start, end - start).into(),
            first_line,
            column,
            end_line - first_line,
        )))
    }
}

/// A parsed file.
pub(crate) struct Source(Arc<MaskedText>);

impl Source {
    /// Parses a file and appends its syntax errors to `faults`.
    pub(crate) fn parse<'a>(
        file: InputFile<'a>,
        faults: &mut Vec<Fault>,
    ) -> (Self, Spanned<DeTable<'a>>) {
        let (table, errors) = DeTable::parse_recoverable(file.text);
        let line_ends = file.text.match_indices('\n');
        let source = Self(Arc::new(MaskedText {
            name: file.name.into(),
            text: mask(file.text, table.get_ref()),
            line_starts: iter::once(0)
                .chain(line_ends.map(|(end, _)| end + 1))
                .collect(),
        }));
        for error in errors {
            let span = error.span().unwrap_or(0..0);
            // The parser's messages name tokens and types, but never quote the input.
            let message = format!("TOML syntax error: {}", error.message());
            faults.push(Fault::error(&source, span, message));
        }
        (source, table)
    }

    pub(crate) fn name(&self) -> &str {
        &self.0.name
    }

    /// Returns the part of a span that lies within the file.
    pub(crate) fn clamp(&self, span: &Range<usize>) -> Range<usize> {
        let end = span.end.min(self.0.text.len());
        span.start.min(end)..end
    }

    pub(crate) fn masked(&self) -> Arc<MaskedText> {
        Arc::clone(&self.0)
    }

    /// Returns the line number of a byte offset, counted from 1.
    pub(crate) fn line_number(&self, offset: usize) -> usize {
        self.0.line_index(offset) + 1
    }
}

/// Returns the text with everything masked except punctuation and what is known to be safe to show.
/// Each byte keeps its offset, so that spans of the original text stay valid.
fn mask(text: &str, table: &DeTable<'_>) -> String {
    let is_punctuation = |byte: u8| byte.is_ascii_whitespace() || b"[]{}=\"'.,".contains(&byte);
    let masked = text
        .bytes()
        .map(|byte| if is_punctuation(byte) { byte } else { b'*' });
    let mut masked: Vec<u8> = masked.collect();
    let mut visible_spans = Vec::new();
    collect_visible_spans(table, false, &mut visible_spans);
    // The parser has no spans for the inner parts of a table header such as `[group.a.members.b]`.
    visible_spans.extend(known_header_words(text));
    for span in visible_spans {
        let original = text.as_bytes().get(span.clone());
        if let (Some(from), Some(to)) = (original, masked.get_mut(span))
            && from.is_ascii()
        {
            to.copy_from_slice(from);
        }
    }
    // All bytes are ASCII, so the conversion keeps every one.
    String::from_utf8_lossy(&masked).into_owned()
}

/// Collects the spans of known keys, of names that operators choose, and of the values of known
/// keys that are not secret.
fn collect_visible_spans(
    table: &DeTable<'_>,
    keys_are_names: bool,
    visible_spans: &mut Vec<Range<usize>>,
) {
    for (key, value) in table {
        let name = key.get_ref().as_ref();
        if !keys_are_names && !keys::is_known(name) {
            continue;
        }
        visible_spans.push(key.span());
        match value.get_ref() {
            DeValue::Table(inner) => {
                collect_visible_spans(
                    inner,
                    !keys_are_names && keys::is_named_section(name),
                    visible_spans,
                );
            }
            _ if keys_are_names || !keys::has_public_value(name) => {}
            DeValue::Array(items) => visible_spans.extend(
                items
                    .iter()
                    .filter(|item| !item.get_ref().is_table() && !item.get_ref().is_array())
                    .map(Spanned::span),
            ),
            _ => visible_spans.push(value.span()),
        }
    }
}

/// Returns the spans of section and key names in table headers. Lines with a quote are skipped, as
/// they may be items of a list instead.
fn known_header_words(text: &str) -> impl Iterator<Item = Range<usize>> {
    text.lines()
        .filter(|line| line.starts_with('[') && !line.contains(['"', '\'']))
        .flat_map(|line| line.split(['[', '.', ']']))
        .filter(|word| keys::is_known(word))
        .map(|word| {
            let start = word.as_ptr() as usize - text.as_ptr() as usize;
            start..start + word.len()
        })
}
