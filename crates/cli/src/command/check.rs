//! `check`: validates settings and manifests without a server.

use std::path::Path;

use base::prelude::*;
use config::prelude::Settings;
use spec::manifest::read_manifests;

use super::read_file;
use crate::failure::Failure;

/// Validates a file of manifests or of daemon settings.
///
/// A file that is an array, or whose first object has a field `kind`, is read as manifests.
///
/// # Errors
///
/// [`Failure::BadInput`] with all findings.
pub fn check(file: &Path) -> Result<(), Failure> {
    let text = read_file(file)?;
    let place = file.display().to_string();
    let failure = |findings: Findings| Failure::bad_input(place.as_str(), format!("\n{findings}"));
    if is_manifests(&text) {
        let manifests = read_manifests(&text).map_err(failure)?;
        println!("{place}: {} manifests are valid by themselves", manifests.len());
        return Ok(());
    }
    Settings::try_from(text.as_str()).map_err(failure)?;
    println!("{place}: the settings are valid");
    Ok(())
}

fn is_manifests(text: &str) -> bool {
    let first = serde_json::Deserializer::from_str(text).into_iter::<serde_json::Value>().next();
    match first {
        Some(Ok(serde_json::Value::Array(_))) => true,
        Some(Ok(value)) => value.get("kind").is_some(),
        _ => false,
    }
}
