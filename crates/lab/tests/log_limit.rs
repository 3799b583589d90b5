//! A daemon whose log can't grow any more.

mod procs;

use std::fs::File;
use std::process::Command;
use std::time::Duration;

use http::Method;
use lab::sample;
use procs::Proc;
use procs::program;
use procs::wait_until;
use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use web::client::Call;
use web::prelude::Client;

const TIMEOUT: Duration = Duration::from_secs(8);
/// How long the daemon has lines to write that it can't write.
const LOGGING_TIME: Duration = Duration::from_secs(3);

// Guards against a daemon that ends because its log can't grow: by the signal for that, or by a panic.
#[tokio::test]
async fn a_daemon_whose_log_cannot_grow_keeps_running() {
    let kv = Proc::stand_in(&["kv"], 2);
    let folder = std::env::temp_dir().join(format!("daemon-log-limit-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (path, log) = (folder.join("settings.json"), folder.join("log"));
    std::fs::write(&path, sample::settings("node-0", kv.at("kv"), &[], None)).expect("settings");
    let mut command = Command::new(program("samphired"));
    command.arg("--settings").arg(&path).stderr(File::create(&log).expect("a log"));
    let mut daemon = Proc::start(&mut command, 1);
    let operator = daemon.at("operator");
    let client = Client::pooled(TIMEOUT);
    let answers =
        async || client.send(operator, Call::new(Method::GET, "/metrics"), TIMEOUT).await.is_ok();
    wait_until("the daemon answers", &answers).await;

    let size = std::fs::metadata(&log).expect("a log").len();
    let limit = Rlimit { current: Some(size), maximum: Some(size) };
    let pid = Pid::from_raw(daemon.id()).expect("a process id");
    rustix::process::prlimit(Some(pid), Resource::Fsize, limit).expect("a limit");
    // It logs that the key-value service is away.
    drop(kv);
    tokio::time::sleep(LOGGING_TIME).await;
    assert!(daemon.is_running(), "the daemon ended");
    assert!(answers().await, "the daemon doesn't answer");
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
}
