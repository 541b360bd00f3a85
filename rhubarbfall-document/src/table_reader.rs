//! Reads TOML tables field by field, so that an invalid field does not hide faults in the others.

use std::borrow::Cow;
use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

/// A fault with its byte offset in the text.
#[derive(Debug, Clone)]
pub(crate) struct LocatedFault {
    pub(crate) path: String,
    pub(crate) offset_bytes: usize,
    pub(crate) message: String,
}

/// The faults found while reading a text, and the byte offset of each field.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    pub(crate) faults: Vec<LocatedFault>,
    pub(crate) field_offsets: Vec<(String, usize)>,
}

impl Findings {
    pub(crate) fn add_fault(
        &mut self,
        path: &str,
        offset_bytes: usize,
        message: impl Into<String>,
    ) {
        self.faults.push(LocatedFault {
            path: path.to_owned(),
            offset_bytes,
            message: message.into(),
        });
    }
}

type Field<'i> = (Spanned<Cow<'i, str>>, Spanned<DeValue<'i>>);

/// A table whose fields are taken by name.
#[derive(Debug)]
pub(crate) struct TableReader<'i> {
    path: String,
    offset_bytes: usize,
    fields: Vec<Field<'i>>,
}

impl<'i> TableReader<'i> {
    pub(crate) fn new(path: impl Into<String>, table: Spanned<DeTable<'i>>) -> Self {
        Self {
            path: path.into(),
            offset_bytes: table.span().start,
            fields: table.into_inner().into_iter().collect(),
        }
    }

    fn from_value(
        path: String,
        value: Spanned<DeValue<'i>>,
        findings: &mut Findings,
    ) -> Option<Self> {
        let span = value.span();
        match value.into_inner() {
            DeValue::Table(table) => Some(Self::new(path, Spanned::new(span, table))),
            other => {
                let message = format!("a table is expected here, not {}", with_article(&other));
                findings.add_fault(&path, span.start, message);
                None
            }
        }
    }

    /// Returns the path of a field of this table.
    pub(crate) fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.path)
    }

    /// Records a fault of the table as a whole.
    pub(crate) fn add_fault(&self, findings: &mut Findings, message: impl Into<String>) {
        findings.add_fault(&self.path, self.offset_bytes, message);
    }

    /// Takes an optional field; an invalid one is recorded as a fault and treated as absent.
    pub(crate) fn optional<T: DeserializeOwned>(
        &mut self,
        name: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let (path, value) = self.take(name, findings)?;
        decode(&path, value, findings)
    }

    /// Takes a required field; an absent or invalid one is recorded as a fault.
    pub(crate) fn required<T: DeserializeOwned>(
        &mut self,
        name: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let Some((path, value)) = self.take(name, findings) else {
            let path = self.path_of(name);
            findings.add_fault(&path, self.offset_bytes, "this field is missing");
            return None;
        };
        decode(&path, value, findings)
    }

    /// Takes an optional table.
    pub(crate) fn table(&mut self, name: &str, findings: &mut Findings) -> Option<Self> {
        let (path, value) = self.take(name, findings)?;
        Self::from_value(path, value, findings)
    }

    /// Takes an optional list of tables and reads each of them.
    pub(crate) fn tables<T>(
        &mut self,
        name: &str,
        findings: &mut Findings,
        read: impl Fn(Self, &mut Findings) -> Option<T>,
    ) -> Vec<T> {
        let Some((path, value)) = self.take(name, findings) else {
            return Vec::new();
        };
        let span = value.span();
        let items = match value.into_inner() {
            DeValue::Array(items) => items,
            other => {
                let message = format!(
                    "a list of tables is expected here, not {}",
                    with_article(&other)
                );
                findings.add_fault(&path, span.start, message);
                return Vec::new();
            }
        };
        let read_item = |(index, item): (usize, Spanned<DeValue<'i>>)| {
            let path = format!("{path}[{index}]");
            findings
                .field_offsets
                .push((path.clone(), item.span().start));
            let reader = Self::from_value(path, item, findings)?;
            read(reader, findings)
        };
        items
            .into_iter()
            .enumerate()
            .filter_map(read_item)
            .collect()
    }

    /// Takes every remaining field with its name, position and value.
    pub(crate) fn take_all(&mut self, findings: &mut Findings) -> Vec<NamedValue<'i>> {
        let fields = std::mem::take(&mut self.fields);
        let name_value = |(name, value): Field<'i>| {
            let path = self.path_of(name.get_ref());
            findings
                .field_offsets
                .push((path.clone(), name.span().start));
            NamedValue {
                name: name.get_ref().clone().into_owned(),
                path,
                name_span: name.span(),
                value,
            }
        };
        fields.into_iter().map(name_value).collect()
    }

    /// Records a fault for every field that was not taken.
    pub(crate) fn reject_unknown_fields(self, findings: &mut Findings) {
        for (name, _) in &self.fields {
            let path = self.path_of(name.get_ref());
            findings.add_fault(&path, name.span().start, "unknown field");
        }
    }

    fn take(
        &mut self,
        name: &str,
        findings: &mut Findings,
    ) -> Option<(String, Spanned<DeValue<'i>>)> {
        let index = self
            .fields
            .iter()
            .position(|(key, _)| key.get_ref() == name)?;
        let (key, value) = self.fields.swap_remove(index);
        let path = self.path_of(name);
        findings
            .field_offsets
            .push((path.clone(), key.span().start));
        Some((path, value))
    }
}

/// A field whose name is data, such as a team's identifier.
#[derive(Debug)]
pub(crate) struct NamedValue<'i> {
    pub(crate) name: String,
    pub(crate) path: String,
    pub(crate) name_span: Range<usize>,
    value: Spanned<DeValue<'i>>,
}

impl<'i> NamedValue<'i> {
    pub(crate) fn decode<T: DeserializeOwned>(self, findings: &mut Findings) -> Option<T> {
        decode(&self.path, self.value, findings)
    }

    pub(crate) fn into_table(self, findings: &mut Findings) -> Option<TableReader<'i>> {
        TableReader::from_value(self.path, self.value, findings)
    }
}

fn decode<T: DeserializeOwned>(
    path: &str,
    value: Spanned<DeValue<'_>>,
    findings: &mut Findings,
) -> Option<T> {
    let start = value.span().start;
    match T::deserialize(ValueDeserializer::from(value)) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            let offset_bytes = error.span().map_or(start, |span| span.start);
            findings.add_fault(path, offset_bytes, error.message().trim());
            None
        }
    }
}

fn with_article(value: &DeValue<'_>) -> String {
    let kind = value.type_str();
    let article = if kind.starts_with(['a', 'i']) {
        "an"
    } else {
        "a"
    };
    format!("{article} {kind}")
}
