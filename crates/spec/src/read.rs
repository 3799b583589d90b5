//! Deserializes a JSON value and reports all its errors, not only the first.
//!
//! A deserializer stops at the first error. The reader therefore recovers with an example, a valid
//! JSON value of the type in which every field is present: it reports the error, replaces the
//! invalid part by that of the example, and deserializes again until there is no error. Unknown
//! fields are found by walking the value and the example in parallel.
//!
//! Each round removes one error, so the number of rounds is bounded by the number of nodes in the
//! value and the example.

use base::prelude::*;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Path;
use serde_path_to_error::Segment;

/// Errors of one value after which the reader gives up.
const MAX_ERRORS: usize = 64;

/// Deserializes `value` as a `T`, and adds all errors to `findings` with their path below `place`.
///
/// If there were errors, the result contains parts of the example in place of the invalid parts. It
/// must then be used only to find more problems.
pub fn read_with_recovery<T: DeserializeOwned>(
    mut value: Value,
    example: &Value,
    place: &str,
    findings: &mut Findings,
) -> Option<T> {
    remove_unknown_fields(&mut value, example, place, findings);
    for _ in 0..MAX_ERRORS {
        match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(read) => return Some(read),
            Err(error) => {
                let path = segments(error.path());
                let problem = error.inner().to_string();
                findings.add(join(place, &path), problem.clone());
                if !substitute(&mut value, example, &path, &problem) {
                    return None;
                }
            }
        }
    }
    None
}

#[derive(Clone, Debug)]
enum Step {
    Field(String),
    Index(usize),
}

fn segments(path: &Path) -> Vec<Step> {
    let step = |segment: &Segment| match segment {
        Segment::Seq { index } => Some(Step::Index(*index)),
        Segment::Map { key } => Some(Step::Field(key.clone())),
        Segment::Enum { variant } => Some(Step::Field(variant.clone())),
        Segment::Unknown => None,
    };
    path.iter().filter_map(step).collect()
}

fn join(place: &str, path: &[Step]) -> String {
    let mut out = place.to_owned();
    for step in path {
        match step {
            Step::Field(name) => out.push_str(&format!(".{name}")),
            Step::Index(index) => out.push_str(&format!("[{index}]")),
        }
    }
    out
}

fn remove_unknown_fields(value: &mut Value, example: &Value, place: &str, findings: &mut Findings) {
    match (value, example) {
        (Value::Object(fields), Value::Object(known)) => {
            let names: Vec<String> = fields.keys().cloned().collect();
            for name in names {
                let place = format!("{place}.{name}");
                match known.get(&name) {
                    Some(example) => {
                        remove_unknown_fields(&mut fields[&name], example, &place, findings)
                    }
                    None => {
                        fields.remove(&name);
                        let allowed: Vec<&str> = known.keys().map(String::as_str).collect();
                        let allowed = allowed.join(", ");
                        findings.add(place, format!("unknown field; the fields are {allowed}"));
                    }
                }
            }
        }
        (Value::Array(items), Value::Array(examples)) => {
            let Some(example) = examples.first() else { return };
            for (index, item) in items.iter_mut().enumerate() {
                remove_unknown_fields(item, example, &format!("{place}[{index}]"), findings);
            }
        }
        _ => {}
    }
}

/// Replaces the invalid part at `path` by that of the example; returns whether the value changed.
fn substitute(value: &mut Value, example: &Value, path: &[Step], problem: &str) -> bool {
    let Some(part) = example_at(example, path) else { return false };
    let Some(target) = value_at(value, path) else { return false };
    let missing = problem.strip_prefix("missing field `").and_then(|rest| rest.split('`').next());
    match (target, part, missing) {
        (Value::Object(fields), Value::Object(known), Some(name)) => {
            let Some(part) = known.get(name) else { return false };
            fields.insert(name.to_owned(), part.clone()).is_none()
        }
        (target, part, _) => {
            let changed = target != part;
            *target = part.clone();
            changed
        }
    }
}

fn example_at<'a>(example: &'a Value, path: &[Step]) -> Option<&'a Value> {
    path.iter().try_fold(example, |at, step| match step {
        Step::Field(name) => at.get(name),
        Step::Index(_) => at.get(0),
    })
}

fn value_at<'a>(value: &'a mut Value, path: &[Step]) -> Option<&'a mut Value> {
    path.iter().try_fold(value, |at, step| match step {
        Step::Field(name) => at.get_mut(name),
        Step::Index(index) => at.get_mut(*index),
    })
}
