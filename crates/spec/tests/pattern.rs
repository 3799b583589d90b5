//! Which calls a pattern names.

use spec::prelude::*;

fn matches(pattern: &str, method: &str, path: &str) -> bool {
    let (wanted, of) = pattern.split_once(' ').expect("method and path");
    CallPattern { method: wanted.into(), path: of.into() }.matches(method, path)
}

#[test]
fn segments_and_rests_match() {
    assert!(matches("POST /entries", "POST", "/entries"));
    assert!(!matches("POST /entries", "GET", "/entries"));
    assert!(matches("* /entries", "GET", "/entries"));
    assert!(!matches("POST /entries", "POST", "/entries/7"));
    assert!(matches("POST /entries/*", "POST", "/entries/7"));
    assert!(!matches("POST /entries/*", "POST", "/entries"));
    assert!(matches("POST /entries/**", "POST", "/entries"));
    assert!(matches("POST /**", "POST", "/a/b/c"));
    assert!(matches("POST /*/confirm", "POST", "/a/confirm"));
}

#[test]
fn no_other_spelling_escapes() {
    for path in ["//entries/", "/%65ntries", "/./entries", "/x/../entries", "/entries?a=b"] {
        assert!(matches("POST /entries", "POST", path), "{path}");
    }
    assert!(matches("POST /entries", "post", "/entries"));
}
