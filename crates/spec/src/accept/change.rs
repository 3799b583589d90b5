//! A change submitted by an operator, and its evaluation on a catalog.

use base::prelude::*;

use crate::catalog::Catalog;
use crate::manifest::Manifest;
use crate::resource::Kind;
use crate::verify::Issue;
use crate::verify::issues;
use crate::verify::referrers;

/// One edit of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Add or replace a resource.
    Apply(Manifest),
    /// Delete a resource.
    Delete {
        /// Its kind.
        kind: Kind,
        /// Its name.
        name: Box<str>,
        /// The revision that the resource must have, if the deletion is conditional.
        revision: Option<Revision>,
    },
}

impl Edit {
    /// Returns the kind and name of the edited resource.
    pub fn target(&self) -> (Kind, &str) {
        match self {
            Edit::Apply(manifest) => (manifest.resource.kind(), &manifest.name),
            Edit::Delete { kind, name, .. } => (*kind, name),
        }
    }

    fn expected(&self) -> Option<Revision> {
        match self {
            Edit::Apply(manifest) => manifest.revision,
            Edit::Delete { revision, .. } => *revision,
        }
    }
}

/// Edits that are accepted together or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Unique id of the change.
    pub write_id: WriteId,
    /// The operator who submitted it.
    pub operator: Box<str>,
    /// The edits.
    pub edits: Vec<Edit>,
    /// Whether to evaluate the change without applying it.
    pub dry_run: bool,
}

impl Change {
    /// Returns the path that identifies an edit in findings.
    fn place(&self, index: usize) -> String {
        if self.edits.len() == 1 { "$".to_owned() } else { format!("$[{index}]") }
    }

    fn position(&self, kind: Kind, name: &str) -> Option<usize> {
        self.edits.iter().position(|edit| edit.target() == (kind, name))
    }
}

/// A resource whose revision differs from the one that the change expects.
#[wire]
pub struct StaleRevision {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: Box<str>,
    /// The revision that the change expects.
    pub expected: Revision,
    /// The actual revision; 0 if the resource does not exist.
    pub current: Revision,
}

/// The result of evaluating a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Evaluation {
    /// The change was applied to the working catalog.
    Changed {
        /// The revision of the catalog with the change.
        revision: Revision,
    },
    /// The catalog already has the declared state.
    Unchanged {
        /// The highest revision of the edited resources.
        revision: Revision,
    },
    /// A dry run without findings.
    Checked {
        /// Whether the change would modify the catalog.
        changed: bool,
    },
    /// The revision of a resource differs from the one that the change expects.
    Conflict {
        /// All resources with such a difference.
        stale: Vec<StaleRevision>,
    },
    /// A resource to delete does not exist.
    NotFound {
        /// Its kind.
        kind: Kind,
        /// Its name.
        name: Box<str>,
    },
    /// The change violates validation rules.
    Refused {
        /// All violations.
        findings: Findings,
    },
}

/// A copy of a catalog to which changes are applied one after the other.
#[derive(Clone, Debug)]
pub struct WorkingCatalog {
    catalog: Catalog,
    first: Revision,
    /// Problems of the catalog before the next change; a change is not refused for them.
    previous_issues: Vec<Issue>,
}

impl WorkingCatalog {
    /// Starts from an accepted catalog.
    pub fn new(catalog: &Catalog) -> Self {
        let previous_issues = issues(catalog);
        WorkingCatalog { catalog: catalog.clone(), first: catalog.revision, previous_issues }
    }

    /// Returns whether any change was applied.
    pub fn is_changed(&self) -> bool {
        self.catalog.revision != self.first
    }

    /// Returns the catalog with all applied changes.
    pub fn into_catalog(self) -> Catalog {
        self.catalog
    }

    /// Evaluates a change, and applies it if it is valid and not a dry run.
    pub fn evaluate(&mut self, change: &Change) -> Evaluation {
        if let Some(rejection) = self.rejection(change) {
            return rejection;
        }
        let mut after = self.catalog.clone();
        let changed = apply_edits(change, &mut after);
        let after_issues = issues(&after);
        let findings = self.findings(change, &after, &after_issues);
        if !findings.is_empty() {
            return Evaluation::Refused { findings };
        }
        if change.dry_run {
            return Evaluation::Checked { changed };
        }
        if !changed {
            let revision = change.edits.iter().map(|edit| self.revision_of(edit)).max();
            return Evaluation::Unchanged { revision: revision.unwrap_or_default() };
        }
        let revision = after.record_write(change.write_id);
        self.catalog = after;
        self.previous_issues = after_issues;
        Evaluation::Changed { revision }
    }

    fn revision_of(&self, edit: &Edit) -> Revision {
        let (kind, name) = edit.target();
        self.catalog.revision_of(kind, name)
    }

    /// Checks the edits against the current catalog: expected revisions, duplicate targets, and
    /// deletions of resources that do not exist.
    fn rejection(&self, change: &Change) -> Option<Evaluation> {
        let mut stale = Vec::new();
        let mut findings = Findings::default();
        for (index, edit) in change.edits.iter().enumerate() {
            let (kind, name) = edit.target();
            let current = self.revision_of(edit);
            if let Some(expected) = edit.expected().filter(|expected| *expected != current) {
                stale.push(StaleRevision { kind, name: name.into(), expected, current });
            }
            let first = change.position(kind, name) == Some(index);
            findings
                .check(first, &change.place(index), || format!("{kind} `{name}` is edited twice"));
        }
        findings.check(!change.edits.is_empty(), "$", || "the change has no edits".to_owned());
        if !stale.is_empty() {
            return Some(Evaluation::Conflict { stale });
        }
        if !findings.is_empty() {
            return Some(Evaluation::Refused { findings });
        }
        let missing = change.edits.iter().find_map(|edit| match edit {
            Edit::Delete { kind, name, .. } => {
                (!self.catalog.contains(*kind, name)).then(|| (*kind, name.clone()))
            }
            Edit::Apply(_) => None,
        });
        missing.map(|(kind, name)| Evaluation::NotFound { kind, name })
    }

    fn findings(&self, change: &Change, after: &Catalog, issues: &[Issue]) -> Findings {
        let mut findings = Findings::default();
        for (index, edit) in change.edits.iter().enumerate() {
            if let Edit::Delete { kind, name, .. } = edit {
                let referrers = referrers(after, *kind, name);
                let names: Vec<String> =
                    referrers.iter().map(|(kind, name)| format!("{kind} `{name}`")).collect();
                findings.check(referrers.is_empty(), &change.place(index), || {
                    format!("{kind} `{name}` is in use by {}", names.join(", "))
                });
            }
        }
        let in_use = !findings.is_empty();
        for issue in issues.iter().filter(|issue| !self.previous_issues.contains(issue)) {
            match change.position(issue.kind, &issue.name) {
                Some(index) => {
                    let place = format!("{}{}", change.place(index), issue.path);
                    findings.add(place, issue.problem.clone());
                }
                // The deletion of a resource in use was reported above, with the referrers.
                None if in_use => {}
                None => {
                    let place = format!("{}/{}{}", issue.kind, issue.name, issue.path);
                    findings.add(place, issue.problem.clone());
                }
            }
        }
        findings
    }
}

/// Applies the edits, stamped with the next revision; returns whether anything changed.
fn apply_edits(change: &Change, catalog: &mut Catalog) -> bool {
    let revision = catalog.revision + 1;
    let mut changed = false;
    for edit in &change.edits {
        match edit {
            Edit::Apply(manifest) => {
                let kind = manifest.resource.kind();
                let same = catalog
                    .find(kind, &manifest.name)
                    .is_some_and(|entry| entry.resource == manifest.resource);
                if !same {
                    catalog.set(&manifest.name, manifest.resource.clone(), revision);
                    changed = true;
                }
            }
            Edit::Delete { kind, name, .. } => changed |= catalog.delete(*kind, name, revision),
        }
    }
    changed
}
