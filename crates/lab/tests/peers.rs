//! Daemons as separate processes that are members of one cluster, while the key-value service has
//! outages, daemons are stopped by signals and unauthenticated processes try to join.

mod procs;

use std::net::SocketAddr;
use std::time::UNIX_EPOCH;

use base::prelude::*;
use cli::prelude::*;
use cli::servers::Write;
use daemon::announce::Addresses;
use daemon::member::MembershipView;
use daemon::member_seeds::SEEDS_KEY;
use daemon::member_seeds::SeedRecord;
use daemon::names;
use daemon::route::RouteMessage;
use daemon::route::peers::FromPeer;
use daemon::route::quarantine_api::QuarantineEntry;
use http::HeaderMap;
use http::Method;
use kernel::prelude::Registry;
use kv::prelude::Store;
use lab::kv::KvFaultUpdate;
use lab::kv::KvServer;
use lab::kv::Outage;
use lab::sample;
use procs::Proc;
use procs::wait_until;
use proto::peer::PullRequest;
use proto::peer::peer_client::PeerClient;
use route::quarantine::Crash;
use route::quarantine::CrashHistory;
use route::quarantine::Verdict;
use serde_json::Value;
use serde_json::json;
use spec::api::ChangeView;
use spec::api::ProcessView;
use spec::prelude::CATALOG_KEY;
use spec::prelude::Catalog;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use web::body;
use web::client::Call;
use web::prelude::Client;

const TIMEOUT: Duration = Duration::from_secs(8);
/// Staleness bound of the daemons in these tests.
const STALENESS_BOUND_MS: u64 = 3_000;

/// The key-value stand-in in this process, and daemons that use it.
struct Fleet {
    kv: KvServer,
    kv_at: SocketAddr,
    daemons: Vec<Proc>,
}

impl Fleet {
    /// Starts `count` daemons in one failure domain with a committed catalog.
    async fn start(count: usize) -> Fleet {
        let kv = KvServer::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let kv_at = listener.local_addr().unwrap();
        tokio::spawn(kv.clone().serve(listener));
        sample::seed(&kv.store, &sample::catalog(&[], vec![]), &[]).await.unwrap();
        let mut fleet = Fleet { kv, kv_at, daemons: Vec::new() };
        for index in 0..count {
            fleet.add(index, fleet.kv_at, sample::PEER_SECRET);
        }
        for index in 0..count {
            fleet.wait_knows(index, count - 1).await;
        }
        fleet
    }

    /// Starts one more daemon with the first two as seeds.
    fn add(&mut self, index: usize, kv: SocketAddr, secret: &str) {
        let seeds: Vec<SocketAddr> =
            self.daemons.iter().take(2).map(|daemon| daemon.at("gossip")).collect();
        let text = sample::settings(&format!("node-{index}"), kv, &seeds, None);
        let mut settings: Value = serde_json::from_str(&text).unwrap();
        settings["kv"]["timeout_ms"] = json!(300);
        settings["peers"]["secrets"] = json!([secret]);
        settings["peers"]["staleness_bound_ms"] = json!(STALENESS_BOUND_MS);
        settings["log"]["level"] = json!("error");
        self.daemons.push(Proc::daemon(&settings.to_string()));
    }

    fn outage(&self, outage: Outage) {
        self.kv.faults.apply(KvFaultUpdate { outage: Some(outage), ..KvFaultUpdate::default() });
    }

    /// Waits until daemon `index` sees `count` peers alive.
    async fn wait_knows(&self, index: usize, count: usize) {
        wait_until("a daemon knows the others", || async {
            let view = self.status(index).await;
            view.is_some_and(|view| alive(&view) == count)
        })
        .await;
    }

    /// Waits until `revision` is active at daemon `index`.
    async fn wait_revision(&self, index: usize, revision: Revision) {
        wait_until("a daemon has activated the revision", || async {
            self.status(index).await.is_some_and(|view| view.revision == revision)
        })
        .await;
    }

    /// Waits until daemon `index` is ready, or not ready, for new requests.
    async fn wait_ready(&self, index: usize, ready: bool) {
        wait_until("a daemon's readiness changes", || async {
            self.status(index).await.is_some_and(|view| view.ready == ready)
        })
        .await;
    }

    async fn status(&self, index: usize) -> Option<ProcessView> {
        servers(self.daemons[index].at("operator")).read("/api/v1/status").await.ok()
    }

    /// Applies a change through daemon `index` and returns its revision.
    async fn change(&self, index: usize, brand: &str) -> Revision {
        let manifest =
            json!({"kind": "brand", "name": brand, "spec": {"display_name": "Harbour Notices"}});
        let write = Write {
            method: Method::POST,
            path: "/api/v1/apply".to_owned(),
            body: json!([manifest]).to_string(),
            revision: None,
            write_id: random_id(),
        };
        let ChangeView { revision, .. } =
            servers(self.daemons[index].at("operator")).write(&write).await.unwrap();
        revision
    }

    /// Returns the sum of a daemon's metric samples whose line starts with `name`.
    async fn metric(&self, index: usize, name: &str) -> f64 {
        let (_, _, text) = get(self.daemons[index].at("operator"), "/metrics").await;
        let samples = text.lines().filter(|line| line.starts_with(name));
        samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    /// Returns the revisions that a daemon activated, in order, with their sources.
    async fn in_force(&self, index: usize) -> Vec<(Revision, String)> {
        let timeline: Value =
            servers(self.daemons[index].at("operator")).read("/api/v1/timeline").await.unwrap();
        let events = timeline["events"].as_array().unwrap();
        let in_force = events.iter().filter(|event| event["event"] == "in_force");
        in_force
            .map(|event| {
                let source = event["source"].as_str().unwrap().to_owned();
                (event["revision"].as_u64().unwrap(), source)
            })
            .collect()
    }
}

fn alive(view: &ProcessView) -> usize {
    view.peers.iter().filter(|peer| &*peer.state == "alive").count()
}

fn servers(at: SocketAddr) -> Servers {
    Servers::new(vec![at], Some(sample::OPERATOR_TOKEN.into()), TIMEOUT)
}

async fn get(at: SocketAddr, path: &str) -> (u16, HeaderMap, String) {
    send(at, Call::new(Method::GET, path)).await
}

async fn send(at: SocketAddr, call: Call<'_>) -> (u16, HeaderMap, String) {
    let response = Client::unpooled(TIMEOUT).send(at, call, TIMEOUT).await.unwrap();
    let (status, headers) = (response.status().as_u16(), response.headers().clone());
    let bytes = body::read(response.into_body(), 1 << 20).await.unwrap();
    (status, headers, String::from_utf8_lossy(&bytes).into_owned())
}

/// Sends a completion request without a key.
async fn send_completion(at: SocketAddr) -> (u16, HeaderMap, String) {
    let mut call = Call::new(Method::POST, "/v1/completions");
    call.body = json!({"model": "assistant", "prompt": "slack water"}).to_string().into();
    send(at, call).await
}

#[tokio::test]
async fn change_reaches_all_daemons_while_two_per_domain_watch() {
    let fleet = Fleet::start(5).await;
    let watches = || async {
        let mut watches = 0.0;
        for index in 0..5 {
            watches += fleet.metric(index, "samphire_config_watches").await;
        }
        watches
    };
    wait_until("two daemons watch", || async { watches().await == 2.0 }).await;
    for through in 0..5 {
        let revision = fleet.change(through, &format!("brand-{through}")).await;
        for index in 0..5 {
            fleet.wait_revision(index, revision).await;
        }
    }
    let mut pulled = 0;
    for index in 0..5 {
        let in_force = fleet.in_force(index).await;
        assert!(in_force.is_sorted_by(|a, b| a.0 < b.0), "{index}: {in_force:?}");
        pulled += in_force.iter().filter(|(_, source)| source.starts_with("node-")).count();
    }
    assert!(pulled > 0, "no daemon pulled from a peer");
    assert_eq!(watches().await, 2.0);
}

#[tokio::test]
async fn daemon_without_kv_service_starts_from_its_peers_and_follows_them() {
    let mut fleet = Fleet::start(2).await;
    let revision = fleet.change(0, "before").await;
    fleet.wait_revision(1, revision).await;
    let unused_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = unused_listener.local_addr().unwrap();
    drop(unused_listener);
    fleet.add(2, closed, sample::PEER_SECRET);
    fleet.wait_revision(2, revision).await;
    fleet.wait_ready(2, true).await;
    let next = fleet.change(1, "after").await;
    fleet.wait_revision(2, next).await;
    // Its peers alone keep it fresh beyond the staleness bound.
    tokio::time::sleep(Duration::from_millis(STALENESS_BOUND_MS * 2)).await;
    fleet.wait_ready(2, true).await;
    let in_force = fleet.in_force(2).await;
    assert!(in_force.iter().all(|(_, source)| source.starts_with("node-")), "{in_force:?}");
}

#[tokio::test]
async fn new_daemon_rejects_requests_until_it_has_a_configuration() {
    let mut fleet = Fleet::start(0).await;
    fleet.outage(Outage::Reset);
    fleet.add(0, fleet.kv_at, sample::PEER_SECRET);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (status, headers, text) = send_completion(fleet.daemons[0].at("caller")).await;
    assert_eq!((status, headers.contains_key("samphire-not-run")), (503, true), "{text}");
    assert!(headers.contains_key("retry-after"));
    let (status, _, reason) = get(fleet.daemons[0].at("operator"), "/readyz").await;
    assert_eq!((status, &*reason), (503, "no configuration is in force yet"));
    fleet.outage(Outage::None);
    fleet.wait_ready(0, true).await;
    // The configuration with the keys is active now, so the missing key is the error.
    assert_eq!(send_completion(fleet.daemons[0].at("caller")).await.0, 401);
}

#[tokio::test]
async fn isolated_daemon_rejects_requests_after_the_staleness_bound() {
    let fleet = Fleet::start(1).await;
    fleet.wait_ready(0, true).await;
    // Contact with the key-value service keeps it fresh without peers and without changes.
    tokio::time::sleep(Duration::from_millis(STALENESS_BOUND_MS * 2)).await;
    assert!(fleet.status(0).await.unwrap().ready);
    fleet.outage(Outage::Silent);
    fleet.kv.faults.apply(KvFaultUpdate { silence_connections: true, ..KvFaultUpdate::default() });
    fleet.wait_ready(0, false).await;
    let (status, headers, text) = send_completion(fleet.daemons[0].at("caller")).await;
    assert_eq!((status, headers.contains_key("samphire-not-run")), (503, true), "{text}");
    fleet.outage(Outage::None);
    fleet.wait_ready(0, true).await;
    assert_eq!(send_completion(fleet.daemons[0].at("caller")).await.0, 401);
}

#[tokio::test]
async fn resumed_daemon_catches_up_without_suspecting_its_peers() {
    let fleet = Fleet::start(3).await;
    let before = fleet.change(0, "before").await;
    for index in 0..3 {
        fleet.wait_revision(index, before).await;
    }
    fleet.daemons[2].signal("STOP");
    wait_until("the stopped daemon is considered dead", || async {
        let view = fleet.status(0).await.unwrap();
        view.peers.iter().any(|peer| &*peer.node == "node-2" && &*peer.state == "dead")
    })
    .await;
    let mut last = before;
    for number in 0..3 {
        last = fleet.change(0, &format!("meanwhile-{number}")).await;
    }
    fleet.daemons[2].signal("CONT");
    fleet.wait_revision(2, last).await;
    for index in 0..3 {
        fleet.wait_knows(index, 2).await;
    }
    let in_force = fleet.in_force(2).await;
    assert!(in_force.is_sorted_by(|a, b| a.0 < b.0), "{in_force:?}");
    let timeline: Value =
        servers(fleet.daemons[2].at("operator")).read("/api/v1/timeline").await.unwrap();
    let suspected = timeline["events"].as_array().unwrap().iter().any(|event| {
        event["event"] == "member" && matches!(event["state"].as_str(), Some("dead" | "suspect"))
    });
    assert!(!suspected, "the resumed daemon suspected its peers: {timeline}");
}

#[tokio::test]
async fn daemon_without_peers_follows_the_kv_service() {
    let fleet = Fleet::start(3).await;
    fleet.daemons[1].signal("STOP");
    fleet.daemons[2].signal("STOP");
    let revision = fleet.change(0, "alone").await;
    fleet.wait_revision(0, revision).await;
    wait_until("the other daemons are considered dead", || async {
        let view = fleet.status(0).await.unwrap();
        view.ready && view.peers.iter().all(|peer| &*peer.state == "dead")
    })
    .await;
    // This revision can arrive only from the key-value service.
    let found = fleet.kv.store.get(CATALOG_KEY).await.unwrap().unwrap();
    let mut catalog: Catalog = serde_json::from_slice(&found.value).unwrap();
    catalog.revision += 1;
    let bytes = serde_json::to_vec(&catalog).unwrap();
    fleet.kv.store.compare_and_swap(CATALOG_KEY, found.mod_revision, bytes.into()).await.unwrap();
    fleet.wait_revision(0, revision + 1).await;
    fleet.daemons[1].signal("CONT");
    fleet.daemons[2].signal("CONT");
    for index in 0..3 {
        fleet.wait_knows(index, 2).await;
        fleet.wait_revision(index, revision + 1).await;
    }
}

#[tokio::test]
async fn process_with_a_wrong_secret_is_excluded_and_counted() {
    let mut fleet = Fleet::start(2).await;
    let unused_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = unused_listener.local_addr().unwrap();
    drop(unused_listener);
    fleet.add(2, closed, "a secret that nobody else has");
    wait_until("the outsider's datagrams are counted", || async {
        let mut counted = 0.0;
        for index in 0..2 {
            let name = "samphire_refusals_total{listener=\"gossip\",reason=\"unauthentic\"}";
            counted += fleet.metric(index, name).await;
        }
        counted > 3.0
    })
    .await;
    assert_eq!(alive(&fleet.status(0).await.unwrap()), 1);
    let outsider = fleet.status(2).await.unwrap();
    assert_eq!((outsider.peers.len(), outsider.revision, outsider.ready), (0, 0, false));

    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let gossip = fleet.daemons[0].at("gossip");
    socket.send_to(&[1; 1300], gossip).await.unwrap();
    socket.send_to(b"short", gossip).await.unwrap();
    socket.send_to(b"GET / HTTP/1.1 and more", gossip).await.unwrap();
    for reason in ["oversized", "short", "foreign"] {
        let name = format!("samphire_refusals_total{{listener=\"gossip\",reason=\"{reason}\"}} 1");
        wait_until("a bad datagram is counted", || async {
            get(fleet.daemons[0].at("operator"), "/metrics").await.2.contains(&name)
        })
        .await;
    }

    let peer = format!("http://{}", fleet.daemons[0].at("peer"));
    let endpoint = tonic::transport::Endpoint::from_shared(peer).unwrap();
    let mut rpc = PeerClient::new(endpoint.connect().await.unwrap());
    for secret in [None, Some("a secret that nobody else has"), Some(sample::PEER_SECRET)] {
        let mut request = tonic::Request::new(PullRequest { from: 0 });
        request.metadata_mut().insert("samphire-node", "node-9".parse().unwrap());
        if let Some(secret) = secret {
            request.metadata_mut().insert("samphire-secret", secret.parse().unwrap());
        }
        let answer = rpc.pull(request).await;
        let is_member = secret == Some(sample::PEER_SECRET);
        assert_eq!(answer.is_ok(), is_member, "{answer:?}");
    }
    let name = "samphire_refusals_total{listener=\"peer\",reason=\"unauthorized\"}";
    assert_eq!(fleet.metric(0, name).await, 2.0);
}

#[tokio::test]
async fn daemons_without_seeds_join_through_an_outdated_seed_record() {
    let mut fleet = Fleet::start(0).await;
    let unused_listener = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let record = SeedRecord { addresses: vec![unused_listener.local_addr().unwrap()] };
    drop(unused_listener);
    let bytes = serde_json::to_vec(&record).unwrap();
    fleet.kv.store.compare_and_swap(SEEDS_KEY, 0, bytes.into()).await.unwrap();
    for index in 0..3 {
        let text = sample::settings(&format!("node-{index}"), fleet.kv_at, &[], None);
        fleet.daemons.push(Proc::daemon(&text));
    }
    for index in 0..3 {
        fleet.wait_knows(index, 2).await;
    }
}

/// Starts a daemon in this process; returns its registry and gossip address.
async fn start_in_process(
    node: &str,
    kv: SocketAddr,
    seeds: &[SocketAddr],
) -> (Registry, SocketAddr) {
    let text = sample::settings(node, kv, seeds, None);
    let settings = config::prelude::Settings::try_from(&*text).unwrap();
    let kernel = daemon::run::kernel(settings, |_| {});
    let registry = kernel.registry().clone();
    let addresses: Addresses = registry.lookup(names::PROCESS).unwrap();
    tokio::spawn(kernel.run());
    loop {
        let listening = addresses.list();
        if listening.iter().any(|entry| entry.name == "operator") {
            let gossip = listening.iter().find(|entry| entry.name == "gossip").unwrap();
            return (registry, gossip.address);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn quarantine_entries(registry: &Registry) -> Vec<QuarantineEntry> {
    let (tx, rx) = oneshot::channel();
    let route = registry.sender::<RouteMessage>(names::ROUTE).unwrap();
    route.send(RouteMessage::ListQuarantine(tx)).await.unwrap();
    rx.await.unwrap()
}

#[tokio::test]
async fn crashes_seen_by_two_daemons_quarantine_the_request_on_all() {
    let fleet = Fleet::start(0).await;
    let mut seeds = Vec::new();
    let mut daemons = Vec::new();
    for index in 0..3 {
        let (registry, gossip) =
            start_in_process(&format!("here-{index}"), fleet.kv_at, &seeds).await;
        seeds.push(gossip);
        daemons.push(registry);
    }
    for registry in &daemons {
        let members = registry.subscribe::<MembershipView>(names::MEMBER).unwrap();
        wait_until("the daemons know each other", || async {
            members.borrow().live().count() == 2
        })
        .await;
    }
    let millis = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    for (index, registry) in daemons.iter().take(2).enumerate() {
        let mut history = CrashHistory::new(42);
        let at = Hlc { millis: millis as u64, count: index as u32 };
        history.crashes.push(Crash { at, group: format!("g-{index}").into(), generation: 3 });
        // Routing handles it like a crash that this daemon has seen, and publishes it to the peers.
        let route = registry.sender::<RouteMessage>(names::ROUTE).unwrap();
        route.send(RouteMessage::Peer(FromPeer::CrashHistory(history))).await.unwrap();
    }
    for registry in &daemons {
        wait_until("both crashes are known", || async {
            let entries = quarantine_entries(registry).await;
            entries
                .iter()
                .any(|entry| entry.groups.len() == 2 && entry.verdict == Verdict::Quarantined)
        })
        .await;
    }
}
