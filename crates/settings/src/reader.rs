//! A reader of one table, which records every error instead of stopping at the first.

use std::ops::Range;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::fault::Fault;
use crate::keys;
use crate::parse;
use crate::parse::Parsed;
use crate::source::Source;

/// A subtable of a section under a name that operators choose.
pub(crate) struct Entry<'a> {
    pub(crate) name: &'a str,
    pub(crate) span: Range<usize>,
    pub(crate) table: &'a DeTable<'a>,
}

/// Reads the keys of one table, and records them to report the unknown ones.
pub(crate) struct TableReader<'a, 'f> {
    source: &'a Source,
    /// `None` for an omitted section.
    table: Option<&'a DeTable<'a>>,
    /// Where missing keys are reported.
    span: Range<usize>,
    /// The keys that were read, which are the keys that the table may have.
    known_keys: Vec<&'static str>,
    faults: &'f mut Vec<Fault>,
}

impl<'a, 'f> TableReader<'a, 'f> {
    /// Creates a reader that reports missing keys at `span`.
    pub(crate) fn new(
        source: &'a Source,
        table: Option<&'a DeTable<'a>>,
        span: Range<usize>,
        faults: &'f mut Vec<Fault>,
    ) -> Self {
        Self {
            source,
            table,
            span,
            known_keys: Vec::new(),
            faults,
        }
    }

    /// Returns the converted value of a required key, or records an error.
    pub(crate) fn required<T>(
        &mut self,
        key: &'static str,
        convert: impl FnOnce(&DeValue<'_>) -> Parsed<T>,
    ) -> Option<T> {
        let Some(value) = self.lookup(key) else {
            let message = format!("key `{key}` is missing");
            self.error(self.span.clone(), message);
            return None;
        };
        self.convert(key, value, convert)
    }

    /// Returns the converted value of a key, or `default` when the key is missing. An invalid value
    /// is recorded as an error and gives `None`.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        default: T,
        convert: impl FnOnce(&DeValue<'_>) -> Parsed<T>,
    ) -> Option<T> {
        match self.lookup(key) {
            Some(value) => self.convert(key, value, convert),
            None => Some(default),
        }
    }

    /// Returns the converted items of a list with their spans; a missing list is empty. Invalid
    /// items are recorded as errors and give `None`.
    pub(crate) fn list<T>(
        &mut self,
        key: &'static str,
        convert: impl Fn(&DeValue<'_>) -> Parsed<T>,
    ) -> Option<Vec<(T, Range<usize>)>> {
        let Some(value) = self.lookup(key) else {
            return Some(Vec::new());
        };
        let Some(items) = value.get_ref().as_array() else {
            let kind = value.get_ref().type_str();
            self.error(value.span(), format!("`{key}` must be a list, not {kind}"));
            return None;
        };
        let mut list = Vec::new();
        for item in items {
            match convert(item.get_ref()) {
                Ok(converted) => list.push((converted, item.span())),
                Err(message) => self.error(item.span(), format!("item of `{key}` {message}")),
            }
        }
        (list.len() == items.len()).then_some(list)
    }

    /// Returns a reader of a required section, or records an error.
    pub(crate) fn section(&mut self, key: &'static str) -> Option<TableReader<'a, '_>> {
        match self.optional_section(key) {
            Ok(Some(table)) => Some(self.section_reader(key, Some(table))),
            Ok(None) => {
                self.error(self.span.clone(), format!("section `[{key}]` is missing"));
                None
            }
            Err(()) => None,
        }
    }

    /// Returns a reader of a section; a missing section reads as an empty one.
    pub(crate) fn section_or_empty(&mut self, key: &'static str) -> Option<TableReader<'a, '_>> {
        let table = self.optional_section(key).ok()?;
        Some(self.section_reader(key, table))
    }

    fn section_reader(&mut self, key: &str, table: Option<&'a DeTable<'a>>) -> TableReader<'a, '_> {
        TableReader::new(self.source, table, self.span_of(key), self.faults)
    }

    /// Returns the table of a section, or `None` when the section is missing.
    ///
    /// # Errors
    ///
    /// Returns an error, and records it, when the value is not a table.
    pub(crate) fn optional_section(
        &mut self,
        key: &'static str,
    ) -> Result<Option<&'a DeTable<'a>>, ()> {
        let Some(value) = self.lookup(key) else {
            return Ok(None);
        };
        value.get_ref().as_table().map(Some).ok_or_else(|| {
            self.error(value.span(), format!("`{key}` must be a table"));
        })
    }

    /// Returns the named subtables of a section.
    pub(crate) fn entries(&mut self, key: &'static str) -> Vec<Entry<'a>> {
        let Ok(Some(section)) = self.optional_section(key) else {
            return Vec::new();
        };
        let mut entries = Vec::new();
        for (name, value) in section {
            if let Err(message) = parse::check_name(name.get_ref()) {
                self.error(name.span(), format!("name in `{key}` {message}"));
            }
            match value.get_ref().as_table() {
                Some(table) => entries.push(Entry {
                    name: name.get_ref(),
                    span: name.span(),
                    table,
                }),
                None => self.error(value.span(), format!("entry of `{key}` must be a table")),
            }
        }
        entries
    }

    /// Returns a reader of a named subtable.
    pub(crate) fn entry_reader(&mut self, entry: &Entry<'a>) -> TableReader<'a, '_> {
        TableReader::new(
            self.source,
            Some(entry.table),
            entry.span.clone(),
            self.faults,
        )
    }

    /// Returns the span of the value of a key, or of the name when the value is a table. When the
    /// key is missing, returns the span of this table.
    pub(crate) fn span_of(&self, key: &str) -> Range<usize> {
        let found = self.table.and_then(|table| table.get_key_value(key));
        found.map_or(self.span.clone(), |(name, value)| match value.get_ref() {
            DeValue::Table(_) => name.span(),
            _ => value.span(),
        })
    }

    /// Records an error at a place in the file.
    pub(crate) fn error(&mut self, span: Range<usize>, message: impl Into<String>) {
        self.faults.push(Fault::error(self.source, span, message));
    }

    /// Records the fault that a check has returned, if any.
    pub(crate) fn add_fault(&mut self, fault: Option<Fault>) {
        self.faults.extend(fault);
    }

    /// Records a warning at a place in the file.
    pub(crate) fn warning(&mut self, span: Range<usize>, message: impl Into<String>) {
        self.faults.push(Fault::warning(self.source, span, message));
    }

    /// Records an error for every key that has not been read before.
    pub(crate) fn reject_unknown_keys(self) {
        for key in self.table.into_iter().flat_map(DeTable::keys) {
            if self.known_keys.contains(&key.get_ref().as_ref()) {
                continue;
            }
            let message = match self.known_keys.as_slice() {
                [] => "unknown key; this table has no keys".into(),
                known => format!("unknown key; known here: {}", known.join(", ")),
            };
            self.faults
                .push(Fault::error(self.source, key.span(), message));
        }
    }

    /// Returns the value of a key, and records the key as known.
    fn lookup(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        debug_assert!(keys::is_known(key), "key {key} is not listed in KEYS");
        if !self.known_keys.contains(&key) {
            self.known_keys.push(key);
        }
        self.table?.get(key)
    }

    fn convert<T>(
        &mut self,
        key: &str,
        value: &Spanned<DeValue<'_>>,
        convert: impl FnOnce(&DeValue<'_>) -> Parsed<T>,
    ) -> Option<T> {
        convert(value.get_ref())
            .map_err(|message| self.error(value.span(), format!("`{key}` {message}")))
            .ok()
    }
}
