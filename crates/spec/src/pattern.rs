//! Matches calls of a plain service against patterns of method and path.
//!
//! Paths are normalized before they are compared segment by segment: percent-encoding is decoded,
//! empty and `.` segments are removed, and `..` is resolved. So a call has no second spelling that
//! evades its pattern. The query and the fragment are ignored.

use crate::resource::CallPattern;
use crate::resource::Service;

impl CallPattern {
    /// Returns whether the pattern matches a call with this method and path.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let same_method = &*self.method == "*" || self.method.eq_ignore_ascii_case(method);
        same_method && matches_path(&segments(&self.path), &segments(path))
    }
}

impl Service {
    /// Returns whether a call with this method and path may be retried.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        !self.non_idempotent.iter().any(|pattern| pattern.matches(method, path))
    }
}

fn segments(path: &str) -> Vec<String> {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let mut segments: Vec<String> = Vec::new();
    for segment in path.split('/') {
        match decode(segment).as_str() {
            "" | "." => {}
            ".." => drop(segments.pop()),
            segment => segments.push(segment.to_owned()),
        }
    }
    segments
}

fn decode(segment: &str) -> String {
    let mut decoded = Vec::with_capacity(segment.len());
    let mut rest = segment.as_bytes();
    while let [first, tail @ ..] = rest {
        let escaped = match (first, tail) {
            (b'%', [high, low, ..]) => hex(*high).zip(hex(*low)),
            _ => None,
        };
        match escaped {
            Some((high, low)) => {
                decoded.push(high * 16 + low);
                rest = &tail[2..];
            }
            None => {
                decoded.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn hex(digit: u8) -> Option<u8> {
    char::from(digit).to_digit(16).and_then(|digit| u8::try_from(digit).ok())
}

fn matches_path(pattern: &[String], path: &[String]) -> bool {
    match (pattern.split_first(), path.split_first()) {
        (Some((last, [])), _) if last == "**" => true,
        (Some((expected, pattern)), Some((found, path))) => {
            (expected == "*" || expected == found) && matches_path(pattern, path)
        }
        (None, None) => true,
        _ => false,
    }
}
