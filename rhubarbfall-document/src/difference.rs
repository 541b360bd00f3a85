use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Document, Section, SectionId};

/// Number of hexadecimal digits shown of a key's digest.
const SHORT_DIGEST_DIGITS: usize = 8;

/// A field that differs between two states of a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Path of the field within the section; list items are named by their `id` or `label`.
    pub path: Arc<str>,
    /// Earlier value; `None` if the field was added.
    pub before: Option<Arc<str>>,
    /// Later value; `None` if the field was removed.
    pub after: Option<Arc<str>>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {path}: {before} -> {after}"),
            (Some(before), None) => write!(f, "- {path}: {before}"),
            (None, Some(after)) => write!(f, "+ {path}: {after}"),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

/// The differing fields of one section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionDifference {
    /// Section that differs.
    pub section: SectionId,
    /// Differing fields, in order of path.
    pub differences: Vec<Difference>,
}

impl fmt::Display for SectionDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[{}]", self.section)?;
        for difference in &self.differences {
            writeln!(f, "{difference}")?;
        }
        Ok(())
    }
}

/// Returns the sections that differ between two documents, each with its differing fields.
///
/// # Examples
///
/// ```
/// use rhubarbfall_document::{Document, diff};
///
/// let before = Document::parse("[[fleet.pool]]\nid = 'a'\nmax_unavailable_vms = 1")?;
/// let after = Document::parse("[[fleet.pool]]\nid = 'a'\nmax_unavailable_vms = 2")?;
/// let sections = diff(&before, &after);
/// assert_eq!(sections[0].to_string(), "[fleet]\n~ pool.a.max_unavailable_vms: 1 -> 2\n");
/// # Ok::<(), rhubarbfall_document::DocumentError>(())
/// ```
pub fn diff(before: &Document, after: &Document) -> Vec<SectionDifference> {
    let mut sections = before.section_ids();
    sections.extend(after.section_ids());
    sections.sort();
    sections.dedup();
    let differing = |section: SectionId| {
        let differences = diff_sections(&before.section(&section), &after.section(&section));
        (!differences.is_empty()).then_some(SectionDifference {
            section,
            differences,
        })
    };
    sections.into_iter().filter_map(differing).collect()
}

/// Returns the fields that differ between two states of a section, in order of path.
pub(crate) fn diff_sections(before: &Section, after: &Section) -> Vec<Difference> {
    let mut before = flattened_fields(before).into_iter().peekable();
    let mut after = flattened_fields(after).into_iter().peekable();
    let mut differences = Vec::new();
    loop {
        let order = match (before.peek(), after.peek()) {
            (None, None) => return differences,
            (Some(_), None) => std::cmp::Ordering::Less,
            (None, Some(_)) => std::cmp::Ordering::Greater,
            (Some(old), Some(new)) => old.0.cmp(&new.0),
        };
        let old = before.next_if(|_| order.is_le());
        let new = after.next_if(|_| order.is_ge());
        let path = old.as_ref().or(new.as_ref()).map(|field| field.0.as_str());
        let difference = Difference {
            path: Arc::from(path.unwrap_or_default()),
            before: old.map(|field| Arc::from(field.1)),
            after: new.map(|field| Arc::from(field.1)),
        };
        if difference.before != difference.after {
            differences.push(difference);
        }
    }
}

fn flattened_fields(section: &Section) -> Vec<(String, String)> {
    let value = serde_json::to_value(section).expect("serializing a section to JSON succeeds");
    let mut fields = Vec::new();
    flatten(String::new(), &value, &mut fields);
    fields.sort();
    fields
}

fn flatten(path: String, value: &Value, fields: &mut Vec<(String, String)>) {
    match value {
        Value::Object(object) => {
            for (name, value) in object {
                flatten(join(&path, name), value, fields);
            }
        }
        Value::Array(items) if items.first().is_some_and(Value::is_object) => {
            for item in items {
                flatten(join(&path, item_name(item)), item, fields);
            }
        }
        Value::String(digest) if path.ends_with(".digest") => {
            let shown = digest.get(..SHORT_DIGEST_DIGITS).unwrap_or(digest);
            fields.push((path, format!("{shown}..")));
        }
        other => fields.push((path, other.to_string())),
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}

fn item_name(item: &Value) -> &str {
    let name = item.get("id").or_else(|| item.get("label"));
    name.and_then(Value::as_str).unwrap_or("?")
}
