//! Validation problems, collected with their location and reported together.
//!
//! A check does not stop at the first problem: it adds a [`Finding`] and continues, and its caller
//! turns the collection into one error with [`Findings::into_result`].

use std::fmt;

/// One problem and where it was found.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Finding {
    /// Where: a JSON path such as `$.listen.caller`, or a record's key and path.
    pub place: Box<str>,
    /// What was found there and what is allowed.
    pub problem: Box<str>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.problem)
    }
}

/// Problems in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Adds a problem found at `place`.
    pub fn add(&mut self, place: impl Into<Box<str>>, problem: impl Into<Box<str>>) {
        self.list.push(Finding { place: place.into(), problem: problem.into() });
    }

    /// Adds the problem unless `ok` is true.
    pub fn check(&mut self, ok: bool, place: &str, problem: impl FnOnce() -> String) {
        if !ok {
            self.add(place, problem());
        }
    }

    /// Appends all problems of `other`.
    pub fn merge(&mut self, other: Findings) {
        self.list.extend(other.list);
    }

    /// Returns whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the number of problems.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Returns the problems in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.list.iter()
    }

    /// Returns `value` if nothing was found, else the findings.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.list.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
