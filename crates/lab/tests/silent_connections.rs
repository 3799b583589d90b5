//! Open connections go silent for good while new ones work.

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

/// One group whose engines are reached over links, a daemon that reaches the key-value service
/// over a link, and the links.
struct Linked {
    engines: Vec<FaultyProxy>,
    kv: FaultyProxy,
    daemon: Proc,
    _stand_ins: Vec<Proc>,
}

impl Linked {
    async fn start(token_ms: u64) -> Linked {
        let kv_proc = Proc::stand_in(&["kv"], 2);
        let kv = FaultyProxy::to(kv_proc.at("kv")).await;
        let mut stand_ins = vec![];
        let (mut engines, mut vms) = (vec![], vec![]);
        for index in 0..2 {
            let name = format!("vm-{index}");
            let args = ["engine", "--vm", &name, "--token-ms", &token_ms.to_string()];
            let engine = Proc::stand_in(&args, 1);
            let link = FaultyProxy::to(engine.at("engine")).await;
            vms.push(Vm { name: name.into(), address: link.address });
            engines.push(link);
            stand_ins.push(engine);
        }
        let store = Deployment::store_at(kv_proc.at("kv"));
        let mut records = sample::fabric_records(&vms);
        sample::assign_engines(&vms, &mut records).await.unwrap();
        sample::seed(&store, &sample::catalog(&vms, vec![]), &records).await.unwrap();
        let daemon = Proc::daemon(&sample::settings("node-0", kv.address, &[], None));
        stand_ins.push(kv_proc);
        let linked = Linked { engines, kv, daemon, _stand_ins: stand_ins };
        procs::wait_serving(linked.caller()).await;
        linked
    }

    fn caller(&self) -> SocketAddr {
        self.daemon.at("caller")
    }
}

fn long(prompt: &str) -> TextCall {
    let mut call = TextCall::small(prompt, 11);
    call.max_tokens = 120;
    call.timeout = TIMEOUT;
    call
}

#[tokio::test]
async fn a_stream_goes_on_when_its_engine_connection_goes_silent_in_mid_stream() {
    let linked = Linked::start(10).await;
    let call = long("silent in mid-stream");
    let stream = procs::start_stream(linked.caller(), &call).await;
    linked.engines[0].silence_connections();
    let answer = stream.await.unwrap();
    assert_eq!(answer.verdict(&call), Verdict::Right, "{answer:?}");
    let longest = answer.gaps.iter().max().unwrap();
    assert!(*longest >= Duration::from_secs(1), "the connection was not silent: {longest:?}");
}

#[tokio::test]
async fn an_answer_is_whole_when_idle_pooled_connections_went_silent() {
    let linked = Linked::start(2).await;
    let client = Client::pooled(TIMEOUT);
    for round in 0..3 {
        let call = TextCall { timeout: TIMEOUT, ..TextCall::small("idle", round) };
        let answer = caller::call(&client, linked.caller(), &call).await;
        assert_eq!(answer.verdict(&call), Verdict::Right, "{answer:?}");
        linked.engines[0].silence_connections();
    }
}

#[tokio::test]
async fn the_configuration_comes_into_force_when_the_kv_connection_went_silent() {
    let linked = Linked::start(2).await;
    linked.kv.silence_connections();
    let operator = linked.daemon.at("operator");
    procs::apply_brand(operator, "after-the-silence").await;
    procs::wait_until("the change is in force", || async {
        procs::has_brand(operator, "after-the-silence").await
    })
    .await;
    assert!(linked.kv.connections_opened() > 1, "the daemon opened no new connection");
}

#[tokio::test]
async fn a_caller_whose_connection_went_silent_resumes_over_a_new_one() {
    let linked = Linked::start(10).await;
    let front = FaultyProxy::to(linked.caller()).await;
    let mut call = long("silent towards the caller");
    call.timeout = Duration::from_secs(3);
    let stream = procs::start_stream(front.address, &call).await;
    front.silence_connections();
    let begun = stream.await.unwrap();
    assert_eq!(begun.verdict(&call), Verdict::Lost, "the connection was not silent");
    call.timeout = TIMEOUT;
    let resume = Some((begun.token.as_deref().unwrap(), begun.last_piece.unwrap()));
    let client = Client::pooled(TIMEOUT);
    let rest = caller::call_with(&client, front.address, &call, resume, |_| false).await;
    assert!(rest.ended, "{rest:?}");
    assert_eq!(format!("{}{}", begun.text, rest.text), call.expected());
}
