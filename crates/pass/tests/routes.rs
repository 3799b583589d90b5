//! Routing: the longest prefix wins, weighted targets are picked by a stable hash, API keys
//! identify workspaces.

use base::prelude::*;
use pass::config::Target;
use pass::prelude::*;
use pass::routes::RouteError;

fn route(name: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let targets = targets.iter();
    Route {
        name: name.into(),
        host: "Clubs.Example".into(),
        prefix: prefix.into(),
        execution_policy: ExecutionPolicy::Idempotent,
        is_streaming: false,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        event_gap_target: None,
        priority: 2,
        targets: targets
            .map(|(service, weight)| Target { service: (*service).into(), weight: *weight })
            .collect(),
        max_attempts: 2,
        public: false,
    }
}

fn service(name: &str) -> ServiceSpec {
    ServiceSpec { name: name.into(), max_connections: 10, engine: None, warm_up: None }
}

fn config() -> RoutingConfig {
    RoutingConfig {
        version: 3,
        routes: vec![
            route("all", "/", &[("desk", 1)]),
            route("draws", "/draws/", &[("desk", 90), ("new-desk", 10)]),
            Route { public: true, ..route("rules", "/draws/rules/", &[("desk", 1)]) },
        ],
        services: vec![service("desk"), service("new-desk")],
        workspaces: Some(vec![Workspace {
            name: "club".into(),
            priority: Some(0),
            keys: vec!["key-1".into()],
        }]),
        ..RoutingConfig::default()
    }
}

fn name(table: &RouteTable, path: &str) -> String {
    let found = table.find("clubs.example:80", path, Some("key-1"), b"draw");
    found.map_or_else(|problem| format!("{problem:?}"), |routed| routed.route.name.to_string())
}

#[test]
fn the_longest_prefix_wins_and_the_host_is_matched_without_port_and_case() {
    let table = RouteTable::from(config());
    assert_eq!(name(&table, "/draws/1"), "draws");
    assert_eq!(name(&table, "/draws"), "all");
    assert_eq!(name(&table, "/draws/rules/7/x"), "rules");
    assert_eq!(name(&table, "/other"), "all");
    let elsewhere = table.find("other.example", "/draws/1", Some("key-1"), b"");
    assert_eq!(elsewhere.map(|_| ()), Err(RouteError::Unknown));
}

#[test]
fn an_api_key_gives_workspace_and_priority_and_public_routes_need_none() {
    let table = RouteTable::from(config());
    let routed = table.find("clubs.example", "/draws/1", Some("key-1"), b"").expect("a route");
    assert_eq!(routed.workspace.as_deref(), Some("club"));
    assert_eq!(routed.priority, 0);
    for key in [None, Some("other")] {
        let found = table.find("clubs.example", "/draws/1", key, b"").map(|_| ());
        assert_eq!(found, Err(RouteError::Unauthorized));
    }
    assert!(table.find("clubs.example", "/draws/rules/", None, b"").is_ok());
}

// Guards against 404 or 401 for requests that a configuration allows, but whose service it doesn't declare.
#[test]
fn a_route_to_an_undeclared_service_is_no_unknown_route() {
    let mut config = config();
    config.services.retain(|service| &*service.name != "desk");
    let table = RouteTable::from(config);
    let found = table.find("clubs.example", "/other", Some("key-1"), b"").map(|_| ());
    assert_eq!(found, Err(RouteError::NoService));
}

#[test]
fn weighted_targets_are_picked_stably_and_in_proportion() {
    let table = RouteTable::from(config());
    let target = |i: u32| {
        let draw = i.to_be_bytes();
        let routed = table.find("clubs.example", "/draws/1", Some("key-1"), &draw);
        routed.expect("a route").service.name.clone()
    };
    let to_new = (0..2_000).filter(|i| &*target(*i) == "new-desk").count();
    assert!((150..250).contains(&to_new), "{to_new} of 2,000");
    assert!((0..100).all(|i| target(i) == target(i)));
}

#[test]
fn every_problem_of_a_configuration_is_reported_with_its_path() {
    let mut config = config();
    config.routes[0].prefix = "draws".into();
    config.routes[1].targets.clear();
    config.routes[2].targets[0].service = "gone".into();
    let findings = config.verify();
    let paths: Vec<&str> = findings.iter().map(|finding| &*finding.place).collect();
    assert_eq!(paths, ["$.routes[0].prefix", "$.routes[1].targets", "$.routes[2].targets[0]"]);
}
