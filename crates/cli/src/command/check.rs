//! `check`: settings and manifests, without any server.

use std::path::Path;

use base::prelude::*;
use config::prelude::Settings;
use spec::manifest::read_manifests;

use super::read_file;
use crate::failure::Failure;

/// Checks a file of manifests or of daemon settings; all findings are in the failure.
///
/// A file whose first object has a field `kind`, or that is an array, holds manifests.
pub fn check(file: &Path) -> Result<(), Failure> {
    let text = read_file(file)?;
    let place = file.display().to_string();
    let found = |findings: Findings| Failure::bad_input(place.as_str(), format!("\n{findings}"));
    if holds_manifests(&text) {
        let manifests = read_manifests(&text).map_err(found)?;
        println!("{place}: {} manifests are valid by themselves", manifests.len());
        return Ok(());
    }
    Settings::try_from(text.as_str()).map_err(found)?;
    println!("{place}: the settings are valid");
    Ok(())
}

fn holds_manifests(text: &str) -> bool {
    let first = serde_json::Deserializer::from_str(text).into_iter::<serde_json::Value>().next();
    match first {
        Some(Ok(serde_json::Value::Array(_))) => true,
        Some(Ok(value)) => value.get("kind").is_some(),
        _ => false,
    }
}
