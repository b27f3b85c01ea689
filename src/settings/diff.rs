use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A difference between two documents at one place. An accepted change of a team's subtree is
/// recorded as a [`RevisionRecord`](super::RevisionRecord) instead.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// JSON path of the place.
    pub place: String,
    /// Value in the first document, `None` if absent.
    pub old: Option<Value>,
    /// Value in the second document, `None` if absent.
    pub new: Option<Value>,
}

/// Lists the places where two documents differ. Objects are compared field by field, other values as
/// a whole.
///
/// ```
/// # use ebonyusher::settings::diff;
/// let changes = diff(&serde_json::json!({"a": 1, "b": 2}), &serde_json::json!({"a": 1, "b": 3}));
/// assert_eq!(changes[0].place, "b");
/// ```
pub fn diff(old: &Value, new: &Value) -> Vec<Change> {
    let mut changes = Vec::new();
    collect_changes("", Some(old), Some(new), &mut changes);
    changes
}

fn collect_changes(place: &str, old: Option<&Value>, new: Option<&Value>, out: &mut Vec<Change>) {
    if old == new {
        return;
    }
    let (Some(Value::Object(left)), Some(Value::Object(right))) = (old, new) else {
        let change = Change { place: place.to_owned(), old: old.cloned(), new: new.cloned() };
        out.push(change);
        return;
    };
    let added = right.keys().filter(|name| !left.contains_key(*name));
    for name in left.keys().chain(added) {
        let inner = if place.is_empty() { name.clone() } else { format!("{place}.{name}") };
        collect_changes(&inner, left.get(name), right.get(name), out);
    }
}
