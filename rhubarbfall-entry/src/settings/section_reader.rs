//! Parses settings section by section and reports all faults, not only the first.

use std::borrow::Cow;
use std::ops::Range;
use std::sync::Arc;

use rhubarbfall_document::{Position, TextFault};
use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

/// Maximum number of attempts to parse one section; up to four of them fail for each faulty field.
const MAX_PARSE_ATTEMPTS: usize = 150;

/// Values tried in this order for a missing or faulty field, so that the rest of its section can be
/// parsed: a string valid as an identifier, a secret or plain text; a socket address; a number.
const PLACEHOLDERS: [&str; 3] = ["'placeholder-0123456789'", "'127.0.0.1:1'", "1"];

/// Parser of a settings file, which collects the faults of all sections.
#[derive(Debug)]
pub(super) struct SectionReader<'i> {
    text: &'i str,
    sections: DeTable<'i>,
    positions: Vec<(String, Position)>,
    faults: Vec<TextFault>,
}

impl<'i> SectionReader<'i> {
    /// Parses the TOML syntax; returns every syntax fault if there is one.
    pub(super) fn new(text: &'i str) -> Result<Self, Vec<TextFault>> {
        let (table, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            let fault = |error: &toml::de::Error| {
                let offset_bytes = error.span().map_or(0, |span| span.start);
                text_fault(Some(Position::of(text, offset_bytes)), "", error.message())
            };
            return Err(errors.iter().map(fault).collect());
        }
        let sections = table.into_inner();
        Ok(Self {
            text,
            positions: positions(text, &sections),
            sections,
            faults: Vec::new(),
        })
    }

    /// Parses a section and records a fault if it is absent.
    pub(super) fn required<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        if !self.sections.contains_key(name) {
            self.add_fault(name, "this section is missing");
            return None;
        }
        self.parse_section(name)
    }

    /// Parses a section; returns its defaults if it is absent or faulty.
    pub(super) fn optional<T: DeserializeOwned + Default>(&mut self, name: &str) -> T {
        if !self.sections.contains_key(name) {
            return T::default();
        }
        self.parse_section(name).unwrap_or_default()
    }

    /// Records a fault if a field breaks a rule, unless the field already has a fault.
    pub(super) fn check_rule(&mut self, path: &str, holds: bool, rule: &str) {
        let is_reported = self.faults.iter().any(|fault| &*fault.path == path);
        if !holds && !is_reported {
            self.add_fault(path, rule);
        }
    }

    /// Records a fault for each unknown section, and returns all faults in the order of the text.
    pub(super) fn finish(mut self) -> Vec<TextFault> {
        let names: Vec<String> = self.sections.keys().map(ToString::to_string).collect();
        for name in names {
            self.add_fault(&name, "no section has this name");
        }
        self.faults.sort_by_key(|fault| fault.position);
        self.faults
    }

    fn parse_section<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let value = self.sections.remove(name)?;
        let span = value.span();
        let DeValue::Table(mut table) = value.into_inner() else {
            self.add_fault(name, "a table is expected here");
            return None;
        };
        let mut placeholders = Placeholders::default();
        for _ in 0..MAX_PARSE_ATTEMPTS {
            let value = Spanned::new(span.clone(), DeValue::Table(table.clone()));
            let error = match T::deserialize(ValueDeserializer::from(value)) {
                Ok(section) => return Some(section),
                Err(error) => error,
            };
            let field = field_of(&table, &error).or_else(|| placeholders.last_replaced())?;
            if !placeholders.has(&field) {
                self.add_parse_fault(name, &field, &error);
            }
            let is_missing = error.message().starts_with("missing field");
            placeholders.replace(&mut table, field, is_missing)?;
        }
        None
    }

    fn add_fault(&mut self, path: &str, message: &str) {
        let position = self.position(path);
        self.faults.push(text_fault(Some(position), path, message));
    }

    fn add_parse_fault(&mut self, section: &str, field: &str, error: &toml::de::Error) {
        let path = format!("{section}.{field}");
        if error.message().starts_with("missing field") {
            return self.add_fault(&path, "this field is missing");
        }
        let position = error.span().map(|span| Position::of(self.text, span.start));
        self.faults
            .push(text_fault(position, &path, error.message()));
    }

    /// Returns the position of a field, or of its section if the text lacks the field, or the start
    /// of the text if it lacks both.
    fn position(&self, path: &str) -> Position {
        let section = path.split('.').next().unwrap_or_default();
        let position_of = |path: &str| self.positions.iter().find(|(known, _)| known == path);
        let found = position_of(path).or_else(|| position_of(section));
        found.map_or(Position { line: 1, column: 1 }, |(_, position)| *position)
    }
}

fn text_fault(position: Option<Position>, path: &str, message: &str) -> TextFault {
    TextFault {
        position,
        path: Arc::from(path),
        message: Arc::from(message.trim()),
    }
}

fn positions(text: &str, sections: &DeTable<'_>) -> Vec<(String, Position)> {
    let mut positions = Vec::new();
    for (name, section) in sections {
        let position = Position::of(text, name.span().start);
        positions.push((name.get_ref().to_string(), position));
        let DeValue::Table(fields) = section.get_ref() else {
            continue;
        };
        for field in fields.keys() {
            let position = Position::of(text, field.span().start);
            positions.push((format!("{name}.{field}"), position));
        }
    }
    positions
}

/// Returns the field that an error concerns: the missing one, or the one at the error's position.
fn field_of(table: &DeTable<'_>, error: &toml::de::Error) -> Option<String> {
    if let Some(rest) = error.message().strip_prefix("missing field `") {
        return rest.split('`').next().map(str::to_owned);
    }
    let offset = error.span()?.start;
    // Placeholders have the empty span 0..0, which must not match.
    let includes_offset =
        |span: Range<usize>| span.contains(&offset) || (span.start == offset && offset > 0);
    let mut fields = table.iter();
    let found =
        fields.find(|(name, value)| includes_offset(name.span()) || includes_offset(value.span()));
    found.map(|(name, _)| name.get_ref().to_string())
}

/// Faulty fields of one section, and the placeholders that replace them.
#[derive(Debug, Default)]
struct Placeholders {
    /// Each faulty field with the index of the next placeholder to try.
    fields: Vec<(String, usize)>,
    last_replaced: Option<String>,
}

impl Placeholders {
    fn has(&self, field: &str) -> bool {
        self.fields.iter().any(|(known, _)| known == field)
    }

    /// Returns the field that was replaced last; an error that matches no field of the text
    /// concerns its placeholder.
    fn last_replaced(&self) -> Option<String> {
        self.last_replaced.clone()
    }

    /// Removes a faulty field, and inserts the next placeholder if the field is required.
    ///
    /// Returns `None` when every placeholder has been tried.
    fn replace(&mut self, table: &mut DeTable<'_>, field: String, is_missing: bool) -> Option<()> {
        table.remove(field.as_str());
        let is_new = !self.has(&field);
        if is_new {
            self.fields.push((field.clone(), 0));
        }
        self.last_replaced = Some(field.clone());
        if is_new && !is_missing {
            return Some(());
        }
        let (_, next) = self.fields.iter_mut().find(|(known, _)| *known == field)?;
        let placeholder = DeValue::parse(PLACEHOLDERS.get(*next)?).ok()?;
        *next += 1;
        let key = Spanned::new(0..0, Cow::Owned(field));
        table.insert(key, Spanned::new(0..0, placeholder.into_inner()));
        Some(())
    }
}
