//! Configurations that are large, or change what streams are using.

use std::fmt::Write;

use super::super::plan;
use super::scenario::Scenario;

/// The configuration that is in force when the traffic begins.
pub const FIRST_VERSION: u64 = 7;

/// Returns the configuration of a version.
pub fn text(version: u64, scenario: &Scenario) -> String {
    let mut text = plan::config(version, &scenario.plan);
    if version == FIRST_VERSION {
        return add_routes(version, scenario, &text);
    }
    if scenario.changes_engines {
        text = change_engines(version, &text);
    }
    if scenario.changes_routes {
        text = change_routes(version, &text);
    }
    add_routes(version, scenario, &text)
}

/// Changes the figures of the engines, one after the other.
fn change_engines(version: u64, text: &str) -> String {
    match version / 3 % 6 {
        0 => text.replace("\"kv_tokens\":100000", "\"kv_tokens\":9000"),
        1 => text.replace("\"slots\":40", "\"slots\":2"),
        2 => text.replace("\"stride\":7", "\"stride\":1").replace("5.95", "59.5"),
        3 => text.replace("\"read_per_s\":50700.0", "\"read_per_s\":70.0"),
        4 => text.replace("\"chunk\":2048", "\"chunk\":1"),
        _ => text.replace("\"pace\":1.0", "\"pace\":20.0"),
    }
}

/// Takes away the route of streams, one of plain requests, or the services of both.
fn change_routes(version: u64, text: &str) -> String {
    match version / 3 % 5 {
        0 => text.replace("\"prefix\":\"/letters/\"", "\"prefix\":\"/gone/\""),
        1 => text.replace("\"service\":\"llm\"", "\"service\":\"copy\""),
        2 => text.replace("\"name\":\"llm\",\"health", "\"name\":\"other\",\"health"),
        3 => text.replace("\"name\":\"desk\",\"health", "\"name\":\"other\",\"health"),
        _ => text.to_owned(),
    }
}

fn add_routes(version: u64, scenario: &Scenario, text: &str) -> String {
    let mut routes = String::from("\"routes\":[");
    for number in 0..scenario.routes {
        let prefix = format!("{number:0width$}", width = scenario.route_bytes as usize);
        let _ = write!(
            routes,
            "{{\"name\":\"x{number}\",\"host\":\"club.example\",\"prefix\":\"/x{}/{prefix}/\",\
             \"kind\":\"safe\",\"timeout_ms\":8000,\"target_latency_ms\":300,\"service\":\"desk\",\
             \"max_attempts\":2}},",
            version % 2
        );
    }
    text.replacen("\"routes\":[", &routes, 1)
}
