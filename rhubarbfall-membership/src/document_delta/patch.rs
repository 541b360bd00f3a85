use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Difference that turns one JSON value into another.
///
/// # Examples
///
/// ```
/// use rhubarbfall_membership::Patch;
/// use serde_json::json;
///
/// let (before, after) = (json!({ "keys": [1, 2, 3] }), json!({ "keys": [1, 3] }));
/// let patch = Patch::between(&before, &after).expect("the values differ");
/// let mut value = before;
/// assert!(patch.apply(&mut value));
/// assert_eq!(value, after);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Patch {
    /// Replaces the whole value.
    Replace(Value),
    /// Changes members of an object.
    Members {
        /// Members to add or change, each with its patch.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        change: Vec<(String, Self)>,
        /// Members to remove.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        remove: Vec<String>,
    },
    /// Replaces a range of an array.
    Items {
        /// Index of the first item to replace.
        start: usize,
        /// Number of items to remove.
        remove: usize,
        /// Items to insert in their place.
        insert: Vec<Value>,
    },
}

impl Patch {
    /// Returns the patch that turns `before` into `after`, or `None` if they are equal.
    #[must_use]
    pub fn between(before: &Value, after: &Value) -> Option<Self> {
        if before == after {
            return None;
        }
        Some(match (before, after) {
            (Value::Object(before), Value::Object(after)) => between_objects(before, after),
            (Value::Array(before), Value::Array(after)) => between_arrays(before, after),
            _ => Self::Replace(after.clone()),
        })
    }

    /// Applies the patch; returns `false` if it does not fit the value, which may then be partly
    /// changed.
    #[must_use = "a patch that does not fit may leave the value partly changed"]
    pub fn apply(&self, value: &mut Value) -> bool {
        match (self, value) {
            (Self::Replace(after), value) => {
                *value = after.clone();
                true
            }
            (Self::Members { change, remove }, Value::Object(members)) => {
                for name in remove {
                    members.remove(name);
                }
                change.iter().all(|(name, patch)| {
                    let member = members.entry(name.as_str()).or_insert(Value::Null);
                    patch.apply(member)
                })
            }
            (
                Self::Items {
                    start,
                    remove,
                    insert,
                },
                Value::Array(items),
            ) => {
                let end = start.saturating_add(*remove);
                if end > items.len() {
                    return false;
                }
                items.splice(*start..end, insert.iter().cloned());
                true
            }
            _ => false,
        }
    }
}

fn between_objects(before: &Map<String, Value>, after: &Map<String, Value>) -> Patch {
    let removed = before.keys().filter(|name| !after.contains_key(*name));
    let changed = after.iter().filter_map(|(name, after)| {
        let patch = match before.get(name) {
            Some(before) => Patch::between(before, after)?,
            None => Patch::Replace(after.clone()),
        };
        Some((name.clone(), patch))
    });
    Patch::Members {
        change: changed.collect(),
        remove: removed.cloned().collect(),
    }
}

fn between_arrays(before: &[Value], after: &[Value]) -> Patch {
    let pairs = before.iter().zip(after);
    let start = pairs.take_while(|(before, after)| before == after).count();
    let (before, after) = (&before[start..], &after[start..]);
    let pairs = before.iter().rev().zip(after.iter().rev());
    let kept = pairs.take_while(|(before, after)| before == after).count();
    Patch::Items {
        start,
        remove: before.len() - kept,
        insert: after[..after.len() - kept].to_vec(),
    }
}
