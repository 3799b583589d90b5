//! Tests of the command-line options of `samphired` that check and print settings.

use std::process::Command;

fn write(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("{}-{name}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn check_reports_all_six_faults_of_a_settings_file() {
    let path = write(
        "six-faults",
        r#"{"node": "", "region": 7, "listen": {"peer": "here"}, "kv": {"timeout_ms": 0},
            "caller": {"max_body": 1}}"#,
    );
    let out = Command::new(env!("CARGO_BIN_EXE_samphired"))
        .arg("--check-settings")
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(path).unwrap();
    assert_eq!(out.status.code(), Some(2));
    let text = String::from_utf8(out.stderr).unwrap();
    for finding in [
        "$.node:",
        "$.failure_domain: missing",
        "$.region: found 7",
        "$.listen.peer: found \"here\"",
        "$.kv.timeout_ms: found 0",
        "$.caller.max_body: unknown field",
    ] {
        assert!(text.contains(finding), "{finding} is not in:\n{text}");
    }
}

#[test]
fn printed_settings_have_defaults_and_no_credentials() {
    let path = write(
        "effective",
        r#"{"node": "a-1", "failure_domain": "a", "peers": {"secrets": ["a-secret-of-peers"]}}"#,
    );
    let out = Command::new(env!("CARGO_BIN_EXE_samphired"))
        .arg("--print-settings")
        .arg("--settings")
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(path).unwrap();
    assert_eq!(out.status.code(), Some(0));
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(text.contains("\"voucher_ttl_ms\": 1900"), "{text}");
    assert!(!text.contains("a-secret-of-peers"), "{text}");
}
