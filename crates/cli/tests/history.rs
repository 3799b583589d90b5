//! Tests of the history of a request, from log lines as `samphire-platform` writes them.

use cli::history;

const LOG: &str = r#"
  4.8100 n2 {"at_ms":1000,"level":"INFO","node":"n2","decision":{"event":"server","server":"i-1","state":"ready","fabric":"f","group":"g1","phase":"Open","model":"m","staged":[]}}
  4.9000 n1 {"at_ms":1100,"level":"INFO","node":"n1","decision":{"event":"server","server":"i-1","state":"ready","fabric":"f","group":"g1","phase":"Open","model":"m","staged":[]}}
{"at_ms":2000,"level":"INFO","node":"n1","decision":{"event":"sent","request":"r7","attempt":1,"server":"i-1","group":"g1","expected_ms":60,"fill":0.5,"waited_ms":0}}
{"at_ms":2100,"level":"INFO","node":"n1","decision":{"event":"sent","request":"r8","attempt":1,"server":"i-1","group":"g1","expected_ms":60,"fill":0.5,"waited_ms":0}}
{"at_ms":2900,"level":"INFO","node":"n1","decision":{"event":"attempt_failed","request":"r7","attempt":1,"server":"i-1","verdict":"Unknown","status":0,"problem":"the stream fell silent","after_ms":900,"retries_left":3.0}}
{"at_ms":2950,"level":"INFO","node":"n1","target":"x","message":"no decision"}
{"at_ms":2990,"level":"INFO","node":"n1","decision":{"event":"broken_off","request":"r7","server":"","problem":"no place","events":3,"after_ms":990}}
{"at_ms":5000,"level":"INFO","node":"n2","decision":{"event":"server","server":"i-1","state":"missing","fabric":"f","group":"","phase":"","model":"","staged":[]}}
{"at_ms":9000,"level":"INFO","node":"n2","decision":{"event":"server","server":"i-1","state":"ready","fabric":"f","group":"","phase":"","model":"","staged":[]}}
cut off in the midd
"#;

#[test]
fn a_history_shows_the_server_state_known_then_and_the_state_reported_later() {
    let lines = history::format(&history::parse(LOG), "r7").join("\n");
    let expected = "\
+0 ms n1 sent server=i-1 attempt=1 expected_ms=60 fill=0.5 group=g1 waited_ms=0
    believed since 900 ms: server=i-1 fabric=f group=g1 model=m phase=Open state=ready
    learned 3000 ms later by n2: server=i-1 fabric=f state=missing
+900 ms n1 attempt_failed server=i-1 after_ms=900 attempt=1 problem=the stream fell silent \
retries_left=3.0 status=0 verdict=Unknown
    believed since 1800 ms: server=i-1 fabric=f group=g1 model=m phase=Open state=ready
    learned 2100 ms later by n2: server=i-1 fabric=f state=missing
+990 ms n1 broken_off after_ms=990 events=3 problem=no place";
    assert_eq!(lines, expected);
}

#[test]
fn a_request_without_log_entries_has_an_empty_history() {
    assert!(history::format(&history::parse(LOG), "r9").is_empty());
}
