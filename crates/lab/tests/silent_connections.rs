//! End to end: open connections become silent permanently while new ones work.
//!
//! Such a connection stays open and delivers nothing, so only a timeout detects it.

mod procs;

use std::net::SocketAddr;
use std::time::Duration;

use lab::caller;
use lab::caller::TextCall;
use lab::caller::Verdict;
use lab::sample;
use lab::sample::Vm;
use procs::Deployment;
use procs::Proc;
use procs::proxy::FaultyProxy;
use web::prelude::Client;

const TIMEOUT: Duration = Duration::from_secs(60);

/// One group whose engines are behind proxies, a daemon that reaches the key-value service through
/// a proxy, and the proxies.
struct ProxiedDeployment {
    engines: Vec<FaultyProxy>,
    kv: FaultyProxy,
    daemon: Proc,
    _stand_ins: Vec<Proc>,
}

impl ProxiedDeployment {
    async fn start(token_ms: u64) -> ProxiedDeployment {
        let kv_proc = Proc::stand_in(&["kv"], 2);
        let kv = FaultyProxy::to(kv_proc.at("kv")).await;
        let mut stand_ins = vec![];
        let (mut engines, mut vms) = (vec![], vec![]);
        for index in 0..2 {
            let name = format!("vm-{index}");
            let args = ["engine", "--vm", &name, "--token-ms", &token_ms.to_string()];
            let engine = Proc::stand_in(&args, 1);
            let proxy = FaultyProxy::to(engine.at("engine")).await;
            vms.push(Vm { name: name.into(), address: proxy.address });
            engines.push(proxy);
            stand_ins.push(engine);
        }
        let store = Deployment::store_at(kv_proc.at("kv"));
        let mut records = sample::fabric_records(&vms);
        sample::assign_engines(&vms, &mut records).await.unwrap();
        sample::seed(&store, &sample::catalog(&vms, vec![]), &records).await.unwrap();
        let daemon = Proc::daemon(&sample::settings("node-0", kv.address, &[], None));
        stand_ins.push(kv_proc);
        let deployment = ProxiedDeployment { engines, kv, daemon, _stand_ins: stand_ins };
        procs::wait_serving(deployment.caller()).await;
        deployment
    }

    fn caller(&self) -> SocketAddr {
        self.daemon.at("caller")
    }
}

fn long_call(prompt: &str) -> TextCall {
    let mut call = TextCall::small(prompt, 11);
    call.max_tokens = 120;
    call.timeout = TIMEOUT;
    call
}

#[tokio::test]
async fn stream_survives_a_silent_engine_connection() {
    let deployment = ProxiedDeployment::start(10).await;
    let call = long_call("silent in mid-stream");
    let stream = procs::start_stream(deployment.caller(), &call).await;
    deployment.engines[0].silence_connections();
    let answer = stream.await.unwrap();
    assert_eq!(answer.verdict(&call), Verdict::Right, "{answer:?}");
    let longest = answer.gaps.iter().max().unwrap();
    assert!(*longest >= Duration::from_secs(1), "the connection was not silent: {longest:?}");
}

#[tokio::test]
async fn answer_is_complete_when_idle_pooled_connections_are_silent() {
    let deployment = ProxiedDeployment::start(2).await;
    let client = Client::pooled(TIMEOUT);
    for round in 0..3 {
        let call = TextCall { timeout: TIMEOUT, ..TextCall::small("idle", round) };
        let answer = caller::call(&client, deployment.caller(), &call).await;
        assert_eq!(answer.verdict(&call), Verdict::Right, "{answer:?}");
        deployment.engines[0].silence_connections();
    }
}

#[tokio::test]
async fn configuration_change_is_applied_when_the_kv_connection_is_silent() {
    let deployment = ProxiedDeployment::start(2).await;
    deployment.kv.silence_connections();
    let operator = deployment.daemon.at("operator");
    procs::apply_brand(operator, "after-the-silence").await;
    procs::wait_until("the change is active", || async {
        procs::has_brand(operator, "after-the-silence").await
    })
    .await;
    assert!(deployment.kv.connections_opened() > 1, "the daemon opened no new connection");
}

#[tokio::test]
async fn caller_with_a_silent_connection_resumes_over_a_new_one() {
    let deployment = ProxiedDeployment::start(10).await;
    let caller_proxy = FaultyProxy::to(deployment.caller()).await;
    let mut call = long_call("silent towards the caller");
    call.timeout = Duration::from_secs(3);
    let stream = procs::start_stream(caller_proxy.address, &call).await;
    caller_proxy.silence_connections();
    let first_part = stream.await.unwrap();
    assert_eq!(first_part.verdict(&call), Verdict::Lost, "the connection was not silent");
    call.timeout = TIMEOUT;
    let resume = Some((first_part.token.as_deref().unwrap(), first_part.last_piece.unwrap()));
    let client = Client::pooled(TIMEOUT);
    let rest = caller::call_with(&client, caller_proxy.address, &call, resume, |_| false).await;
    assert!(rest.ended, "{rest:?}");
    assert_eq!(format!("{}{}", first_part.text, rest.text), call.expected());
}
