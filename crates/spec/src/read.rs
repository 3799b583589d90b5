//! Reads a JSON value as a type and reports all misfits, not only the first.
//!
//! A deserializer stops at its first misfit. So the reader works beside an example, a valid JSON
//! value of the type in which every field stands: a misfit is reported, the misfitting part is
//! replaced by the example's, and reading goes on until the value fits. Unknown fields are found
//! by walking value and example together.
//!
//! Each round takes away one misfit, so the number of rounds is bounded by the number of nodes in
//! the value and the example.

use base::prelude::*;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Path;
use serde_path_to_error::Segment;

/// Misfits after which reading one value gives up.
const MAX_MISFITS: usize = 64;

/// Reads `value` as a `T`; all misfits are added to `findings` with their path below `place`.
///
/// With findings, the result has the example's parts in place of the misfits: good for finding
/// more problems, and for nothing else.
pub fn read_with_recovery<T: DeserializeOwned>(
    mut value: Value,
    example: &Value,
    place: &str,
    findings: &mut Findings,
) -> Option<T> {
    take_unknown_fields(&mut value, example, place, findings);
    for _ in 0..MAX_MISFITS {
        match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(read) => return Some(read),
            Err(error) => {
                let path = segments(error.path());
                let problem = error.inner().to_string();
                findings.add(join(place, &path), problem.clone());
                if !mend(&mut value, example, &path, &problem) {
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

fn take_unknown_fields(value: &mut Value, example: &Value, place: &str, findings: &mut Findings) {
    match (value, example) {
        (Value::Object(fields), Value::Object(known)) => {
            let names: Vec<String> = fields.keys().cloned().collect();
            for name in names {
                let place = format!("{place}.{name}");
                match known.get(&name) {
                    Some(example) => {
                        take_unknown_fields(&mut fields[&name], example, &place, findings)
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
                take_unknown_fields(item, example, &format!("{place}[{index}]"), findings);
            }
        }
        _ => {}
    }
}

/// Replaces the misfit at `path` by the example's part; returns whether that was possible.
fn mend(value: &mut Value, example: &Value, path: &[Step], problem: &str) -> bool {
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
