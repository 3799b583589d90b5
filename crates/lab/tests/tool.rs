//! The command line tool `samphire` against daemons in separate processes: output and exit codes.

mod procs;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use lab::sample;
use procs::Deployment;
use procs::Proc;
use serde_json::Value;
use serde_json::json;

struct Tool {
    servers: String,
}

impl Tool {
    fn new(servers: &[SocketAddr]) -> Tool {
        let servers: Vec<String> = servers.iter().map(ToString::to_string).collect();
        Tool { servers: servers.join(",") }
    }

    fn run(&self, args: &[&str]) -> Output {
        let mut command = Command::new(procs::program("samphire"));
        let token = sample::OPERATOR_TOKEN;
        command.env("SAMPHIRE_SERVERS", &self.servers).env("SAMPHIRE_TOKEN", token);
        command.args(args).output().expect("the tool runs")
    }

    fn code(&self, args: &[&str]) -> i32 {
        self.run(args).status.code().expect("the tool exits without a signal")
    }

    fn json(&self, args: &[&str]) -> Value {
        let output = self.run(&[args, &["-o", "json"]].concat());
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{args:?}: {errors}");
        serde_json::from_slice(&output.stdout).expect("the output is JSON")
    }

    fn errors(&self, args: &[&str]) -> String {
        String::from_utf8_lossy(&self.run(args).stderr).into_owned()
    }
}

fn example(name: &str) -> String {
    format!("{}/../../docs/examples/{name}.jsonl", env!("CARGO_MANIFEST_DIR"))
}

fn start() -> (Proc, Vec<Proc>, Tool) {
    let kv = Proc::stand_in(&["kv"], 2);
    let settings = |number| sample::settings(&format!("node-{number}"), kv.at("kv"), &[], None);
    let daemons: Vec<Proc> = (0..2).map(|number| Proc::daemon(&settings(number))).collect();
    let at: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.at("operator")).collect();
    (kv, daemons, Tool::new(&at))
}

#[test]
fn example_deployment_is_applied_read_drained_and_protected_from_unsafe_deletes() {
    let (_kv, _daemons, tool) = start();
    let file = example("vatuloa");
    let checked = tool.json(&["apply", "--dry-run", "-f", &file]);
    assert_eq!((&checked["dry_run"], &checked["changed"]), (&json!(true), &json!(true)));
    assert_eq!(tool.json(&["apply", "-f", &file])["revision"], 1);
    assert_eq!(tool.json(&["apply", "-f", &file])["changed"], false);
    let servers = tool.json(&["get", "backend_servers"]);
    assert_eq!(servers["items"].as_array().unwrap().len(), 228);
    assert_eq!(tool.json(&["drain", "suva-1-04"])["revision"], 2);
    let drained = tool.json(&["get", "backend-server", "suva-1-04"]);
    assert_eq!(drained["spec"]["drain"], true);
    let reason = &drained["status"]["conditions"][1]["reason"];
    assert_eq!(reason, "Empty");
    assert_eq!(tool.json(&["undrain", "suva-1-04"])["revision"], 3);
    let refused = tool.run(&["delete", "adapter", "gauges"]);
    let errors = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert_eq!(refused.status.code(), Some(1));
    assert!(errors.contains("adapter `gauges` is in use by workspace `lautoka-port`"), "{errors}");
    assert_eq!(tool.code(&["delete", "workspace", "tables", "--revision", "9"]), 1);
    assert_eq!(tool.code(&["delete", "workspace", "tables", "--revision", "1"]), 0);
    assert_eq!(tool.code(&["get", "workspace", "tables"]), 1);
    let table = tool.run(&["get", "replica"]);
    let table = String::from_utf8_lossy(&table.stdout).into_owned();
    assert!(table.contains("NoGroups") && table.contains("0 of 55 declared groups"), "{table}");
}

#[test]
fn each_kind_of_failure_has_its_exit_code() {
    let (mut kv, mut daemons, tool) = start();
    let file = std::env::temp_dir().join(format!("samphire-tool-{}.json", std::process::id()));
    let write = |text: &str| std::fs::write(&file, text).unwrap();
    let path: PathBuf = file.clone();
    let path = path.to_str().unwrap();
    write(r#"{"kind": "brand", "name": "B", "spec": {"title": 1}}"#);
    let errors = tool.errors(&["apply", "-f", path]);
    assert!(errors.contains("$.name") && errors.contains("$.spec.title"), "{errors}");
    assert_eq!(tool.code(&["apply", "-f", path]), 2);
    assert_eq!(tool.code(&["check", path]), 2);
    assert_eq!(tool.code(&["get", "planet"]), 2);
    write(r#"{"kind": "brand", "name": "b", "spec": {"display_name": "B"}}"#);
    daemons[0].kill();
    assert_eq!(tool.code(&["apply", "-f", path]), 0, "the second server takes it");
    let status = tool.json(&["status"]);
    assert_eq!(status.as_array().unwrap().len(), 2);
    assert_eq!(status[1]["revision"], 1);
    kv.kill();
    assert_eq!(tool.code(&["delete", "brand", "b"]), 5);
    assert_eq!(tool.code(&["get", "brand", "b"]), 0, "reads still work");
    daemons[1].kill();
    assert_eq!(tool.code(&["delete", "brand", "b"]), 3);
    std::fs::remove_file(&file).unwrap();
}

#[tokio::test]
async fn timeline_merges_changes_and_requests_of_several_processes() {
    let deployment = Deployment::start(4, 2, &[]).await;
    let at: Vec<SocketAddr> =
        deployment.daemons.iter().map(|daemon| daemon.at("operator")).collect();
    let tool = Tool::new(&at);
    let drained = tool.json(&["drain", "vm-3"]);
    let revision = drained["revision"].as_u64().unwrap();
    let events_of_revision = |merged: &Value| {
        let events = merged["events"].as_array().unwrap().clone();
        let of = |name: &str| -> Vec<Value> {
            let fits = |event: &&Value| event["event"] == name && event["revision"] == revision;
            events.iter().filter(fits).cloned().collect()
        };
        (of("accepted"), of("in_force"))
    };
    let both = || async { events_of_revision(&tool.json(&["timeline"])).1.len() == 2 };
    procs::wait_until("both daemons have activated the change", both).await;
    let merged = tool.json(&["timeline"]);
    let (accepted, in_force) = events_of_revision(&merged);
    assert_eq!((accepted.len(), in_force.len()), (1, 2));
    assert_ne!(in_force[0]["node"], in_force[1]["node"]);
    assert_eq!(merged["silent"], json!([]));
    let stamps: Vec<(u64, u64)> = merged["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| {
            (event["at"]["millis"].as_u64().unwrap(), event["at"]["count"].as_u64().unwrap())
        })
        .collect();
    assert!(stamps.is_sorted());
    let request = merged["events"]
        .as_array()
        .unwrap()
        .iter()
        .find(|event| event["event"] == "request")
        .expect("requests were served")["request"]
        .clone();
    let request = request.as_u64().unwrap();
    let history = tool.json(&["timeline", "--request", &request.to_string()]);
    let history = history["events"].as_array().unwrap();
    assert!(
        history.len() >= 2 && history.iter().all(|event| event["request"] == request),
        "{history:?}"
    );
}
