//! Tests of patterns that match calls of plain services.

use spec::prelude::*;

fn matches(pattern: &str, method: &str, path: &str) -> bool {
    let (pattern_method, pattern_path) = pattern.split_once(' ').expect("method and path");
    CallPattern { method: pattern_method.into(), path: pattern_path.into() }.matches(method, path)
}

#[test]
fn wildcards_match_one_segment_or_the_rest_of_the_path() {
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
fn no_other_spelling_of_a_path_evades_a_pattern() {
    for path in ["//entries/", "/%65ntries", "/./entries", "/x/../entries", "/entries?a=b"] {
        assert!(matches("POST /entries", "POST", path), "{path}");
    }
    assert!(matches("POST /entries", "post", "/entries"));
}
