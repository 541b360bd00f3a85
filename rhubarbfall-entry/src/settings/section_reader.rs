//! Reads settings section by section, so that one fault does not hide the next.

use std::borrow::Cow;
use std::ops::Range;
use std::sync::Arc;

use rhubarbfall_document::{Position, TextFault};
use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

/// How often one section is read; each fault costs some readings.
const MAX_SECTION_READS: usize = 150;

/// Stands for a value that is missing or bad while the rest of its section is read: something that
/// identifiers, secrets and texts take, an address, and a number.
const PLACEHOLDERS: [&str; 3] = ["'placeholder-0123456789'", "'127.0.0.1:1'", "1"];

/// A settings file as a table of sections.
#[derive(Debug)]
pub(super) struct SectionReader<'i> {
    text: &'i str,
    sections: DeTable<'i>,
    positions: Vec<(String, Position)>,
    faults: Vec<TextFault>,
}

impl<'i> SectionReader<'i> {
    /// Reads the syntax.
    pub(super) fn new(text: &'i str) -> Result<Self, Vec<TextFault>> {
        let (table, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            let fault = |error: &toml::de::Error| {
                let offset_bytes = error.span().map_or(0, |span| span.start);
                fault(Some(Position::of(text, offset_bytes)), "", error.message())
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

    /// Takes a section that must be there.
    pub(super) fn required<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        if !self.sections.contains_key(name) {
            self.add(name, "this section is missing");
            return None;
        }
        self.read(name)
    }

    /// Takes a section that may be absent.
    pub(super) fn optional<T: DeserializeOwned + Default>(&mut self, name: &str) -> T {
        if !self.sections.contains_key(name) {
            return T::default();
        }
        self.read(name).unwrap_or_default()
    }

    /// Records a rule that a field breaks, unless the field could not be read at all.
    pub(super) fn rule(&mut self, path: &str, holds: bool, rule: &str) {
        let is_unread = self.faults.iter().any(|fault| &*fault.path == path);
        if !holds && !is_unread {
            self.add(path, rule);
        }
    }

    /// Records the sections that were not taken, and returns every fault in the order of the text.
    pub(super) fn finish(mut self) -> Vec<TextFault> {
        let names: Vec<String> = self.sections.keys().map(ToString::to_string).collect();
        for name in names {
            self.add(&name, "no section has this name");
        }
        self.faults.sort_by_key(|fault| fault.position);
        self.faults
    }

    fn read<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let value = self.sections.remove(name)?;
        let span = value.span();
        let DeValue::Table(mut table) = value.into_inner() else {
            self.add(name, "a table is expected here");
            return None;
        };
        let mut stand_ins = StandIns::default();
        for _ in 0..MAX_SECTION_READS {
            let value = Spanned::new(span.clone(), DeValue::Table(table.clone()));
            let error = match T::deserialize(ValueDeserializer::from(value)) {
                Ok(section) => return Some(section),
                Err(error) => error,
            };
            let field = field_of(&table, &error).or_else(|| stand_ins.newest())?;
            if !stand_ins.has(&field) {
                self.add_error(name, &field, &error);
            }
            let is_missing = error.message().starts_with("missing field");
            stand_ins.replace(&mut table, field, is_missing)?;
        }
        None
    }

    fn add(&mut self, path: &str, message: &str) {
        let position = self.position(path);
        self.faults.push(fault(Some(position), path, message));
    }

    fn add_error(&mut self, section: &str, field: &str, error: &toml::de::Error) {
        let path = format!("{section}.{field}");
        if error.message().starts_with("missing field") {
            return self.add(&path, "this field is missing");
        }
        let position = error.span().map(|span| Position::of(self.text, span.start));
        self.faults.push(fault(position, &path, error.message()));
    }

    /// Returns where a field stands, or else its section, or else the start of the text.
    fn position(&self, path: &str) -> Position {
        let section = path.split('.').next().unwrap_or_default();
        let at = |path: &str| self.positions.iter().find(|(known, _)| known == path);
        let found = at(path).or_else(|| at(section));
        found.map_or(Position { line: 1, column: 1 }, |(_, position)| *position)
    }
}

fn fault(position: Option<Position>, path: &str, message: &str) -> TextFault {
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

/// Finds the field that an error is about: the missing one, or the one whose text holds the error.
fn field_of(table: &DeTable<'_>, error: &toml::de::Error) -> Option<String> {
    if let Some(rest) = error.message().strip_prefix("missing field `") {
        return rest.split('`').next().map(str::to_owned);
    }
    let at = error.span()?.start;
    let holds = |span: Range<usize>| span.contains(&at) || (span.start == at && at > 0);
    let mut fields = table.iter();
    let found = fields.find(|(name, value)| holds(name.span()) || holds(value.span()));
    found.map(|(name, _)| name.get_ref().to_string())
}

/// The fields of one section that have a fault, and what stands in their place.
#[derive(Debug, Default)]
struct StandIns {
    /// Each field with the next placeholder to try.
    fields: Vec<(String, usize)>,
    newest: Option<String>,
}

impl StandIns {
    fn has(&self, field: &str) -> bool {
        self.fields.iter().any(|(known, _)| known == field)
    }

    /// Returns the newest field; an error without a place in the text is about its placeholder.
    fn newest(&self) -> Option<String> {
        self.newest.clone()
    }

    /// Takes a bad field out, and puts the next placeholder in once it turns out to be needed.
    fn replace(&mut self, table: &mut DeTable<'_>, field: String, is_missing: bool) -> Option<()> {
        table.remove(field.as_str());
        let is_new = !self.has(&field);
        if is_new {
            self.fields.push((field.clone(), 0));
        }
        self.newest = Some(field.clone());
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
