//! Tests of the parsing and validation of settings.

use config::prelude::*;
use proptest::prelude::*;

const SIX_ERRORS: &str = r#"{
    "node": "",
    "failure_domain": "a",
    "listen": {"caller": "localhost:80", "metrics": "127.0.0.1:1"},
    "kv": {"endpoints": ["10.0.0.1:2379", "nowhere"]},
    "keeper": {"probe_period_ms": -5},
    "log": {"targets": {"relay": "loud"}}
}"#;

#[test]
fn all_of_several_errors_are_reported_with_their_paths() {
    let findings = Settings::try_from(SIX_ERRORS).unwrap_err();
    let places: Vec<_> = findings.iter().map(|finding| &*finding.place).collect();
    assert_eq!(
        places,
        [
            "$.node",
            "$.listen.caller",
            "$.listen.metrics",
            "$.kv.endpoints[1]",
            "$.keeper.probe_period_ms",
            "$.log.targets.relay",
        ]
    );
    let text = findings.to_string();
    assert!(text.contains("found -5; allowed is an integer from 10 to 86400000"), "{text}");
}

#[test]
fn contradictory_settings_are_found() {
    let text = r#"{"node": "a-1", "failure_domain": "a",
        "keeper": {"probe_timeout_ms": 900, "voucher_ttl_ms": 800}}"#;
    let findings = Settings::try_from(text).unwrap_err();
    assert_eq!(findings.to_string(), "$.keeper: probe_timeout_ms 900 is above voucher_ttl_ms 800");
}

#[test]
fn the_effective_settings_show_defaults_and_no_credentials() {
    let text = r#"{"node": "a-1", "failure_domain": "a",
        "kv": {"token": "kv-credential"},
        "peers": {"secrets": ["a-secret-of-the-peers"]},
        "operators": {"operator_tokens": ["a-token-of-operators"]}}"#;
    let settings = Settings::try_from(text).unwrap();
    let printed = serde_json::to_string(&settings).unwrap();
    assert!(printed.contains("\"max_body_bytes\":4194304"), "{printed}");
    assert!(!printed.contains("credential") && !printed.contains("a-secret"), "{printed}");
    assert!(!printed.contains("a-token"), "{printed}");
    assert!(!format!("{settings:?}").contains("a-token"));
}

#[test]
fn printed_settings_parse_to_the_same_settings() {
    let text = r#"{"node": "a-1", "failure_domain": "a", "shutdown": {"max_drain_ms": 5},
        "log": {"targets": {"relay": "debug"}}, "requests": {"retry_fraction": 0.5}}"#;
    let settings = Settings::try_from(text).unwrap();
    let printed = serde_json::to_string(&settings).unwrap();
    assert_eq!(Settings::try_from(printed.as_str()).unwrap(), settings);
}

#[test]
fn a_syntax_error_is_reported_with_its_line() {
    let findings = Settings::try_from("{\n  \"node\": }").unwrap_err();
    assert!(findings.to_string().starts_with("line 2 column 11"), "{findings}");
}

proptest! {
    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in ".{0,200}") {
        let _ = Settings::try_from(text.as_str());
    }
}

#[test]
fn settings_that_other_processes_would_reject_are_found() {
    let long = "n".repeat(65);
    let text = format!(
        r#"{{"node": "{long}", "failure_domain": "a",
            "listen": {{"gossip": "0.0.0.0:7946", "peer": "[::]:7947"}},
            "peers": {{"secrets": ["secret-number-one", "secret-number-two", "secret-number-three"]}}}}"#
    );
    let findings = Settings::try_from(text.as_str()).unwrap_err();
    let places: Vec<_> = findings.iter().map(|finding| &*finding.place).collect();
    assert_eq!(places, ["$.node", "$.peers.secrets", "$.listen.gossip", "$.listen.peer"]);
    assert!(!findings.to_string().contains("secret-number"));
    let alone = r#"{"node": "n", "failure_domain": "a", "listen": {"gossip": "0.0.0.0:7946"}}"#;
    assert!(Settings::try_from(alone).is_ok(), "without peers any address is valid");
}
