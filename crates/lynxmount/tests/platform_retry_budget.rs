//! The retry budget that all entries of the users' platform share, judged by what arrives at
//! replicas.

mod platform_common;

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use lynxmount_platform_standin::{
    Backpressure, Behaviour, Call, CallerOutcome, CallerStandin, RecordedRequest, ReplicaStandin,
    RetryWindow, StoreMode, StoreStandin, allowed_in_window,
    fixture::{
        CONFIG_KEY, IDEMPOTENT, OPERATOR_TOPIC, PEERS_TOPIC, REGISTRATIONS_TOPIC, RETRY_BOUNDS,
        STREAM, service_of,
    },
    max_in_window, worst_retry_window,
};
use parking_lot::Mutex;
use platform_common::{
    CALLERS_PORT, KEY, Process, READINESS_PORT, REPLICA_PORT, STORE_PORT, allocate_network, config,
    entry_ip, entry_settings, get, ip, registration, wait_for,
};
use tokio::task::JoinSet;

const REPLICAS: u8 = 6;

/// The pause between two requests, which go to all entries in turn.
const CALL_PAUSE: Duration = Duration::from_millis(40);

/// The same for more requests than limits admit.
const SHORT_CALL_PAUSE: Duration = Duration::from_millis(10);

/// How long a request may take.
const CALL_TIME: Duration = Duration::from_secs(3);

/// How long the store is away. Registrations expire meanwhile.
const OUTAGE: Duration = Duration::from_secs(6);

/// Fraction of the allowed retries that lasting entries use if all calls need one.
const MIN_USED_FRACTION: f64 = 0.6;

/// How long endpoints take to register again.
const REREGISTRATION_TIME: Duration = Duration::from_millis(1500);

/// Several entries, and the requests that callers have sent to them.
struct Cluster {
    network: u8,
    route: &'static str,
    store: StoreStandin,
    replicas: Vec<ReplicaStandin>,
    entries: Vec<Process>,
    /// The addresses of the entries.
    addresses: Arc<Mutex<Vec<IpAddr>>>,
    started: Instant,
    sent: Arc<Mutex<Vec<Duration>>>,
    /// What callers got; `None` without a whole answer.
    answers: Arc<Mutex<Vec<Option<StatusCode>>>>,
}

impl Cluster {
    async fn start(entries: u8, route: &'static str, behaviour: Behaviour) -> Cluster {
        let network = allocate_network();
        let store =
            StoreStandin::start((ip(network, 250), STORE_PORT).into()).await.expect("store starts");
        store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(1, &[KEY]));
        let mut replicas = Vec::new();
        for index in 0..REPLICAS {
            let address = (ip(network, 100 + index), REPLICA_PORT).into();
            let id = format!("i-{index}");
            let replica = ReplicaStandin::start(&id, address, behaviour.clone()).await;
            replicas.push(replica.expect("replica starts"));
        }
        let mut cluster = Cluster {
            network,
            route,
            store,
            replicas,
            entries: Vec::new(),
            addresses: Arc::default(),
            started: Instant::now(),
            sent: Arc::default(),
            answers: Arc::default(),
        };
        cluster.register_replicas();
        for index in 0..entries {
            let address = entry_ip(network, index);
            let entry = cluster.start_entry(address, true);
            cluster.entries.push(entry);
            cluster.addresses.lock().push(address);
        }
        cluster.wait_until_ready().await;
        cluster
    }

    fn start_entry(&self, address: IpAddr, is_first_start: bool) -> Process {
        let settings = entry_settings(address, self.store.address(), &[]);
        let first_start = format!("FirstStart={is_first_start}\n");
        Process::start("platform-entry", &settings.replace("FirstStart=true\n", &first_start))
    }

    fn register_replicas(&self) {
        for replica in &self.replicas {
            let registration = registration(replica, self.route, "ready");
            self.store.put(REGISTRATIONS_TOPIC, &replica.id, &registration);
        }
    }

    async fn wait_until_ready(&self) {
        let addresses = self.addresses.lock().clone();
        for address in addresses {
            let readiness = SocketAddr::new(address, READINESS_PORT);
            wait_for("readiness", async || get(readiness, "/lynxmount/readyz").await.is_some())
                .await;
        }
    }

    /// Waits until each entry counts all entries.
    async fn wait_until_known(&self) {
        let count = self.entries.len().to_string();
        let counts_all = |entry: &Process| {
            let changes = entry.logged("entry count changed");
            changes.last().is_some_and(|change| change["attributes"]["entries"] == *count)
        };
        wait_for("entries that know each other", async || self.entries.iter().all(counts_all))
            .await;
    }

    /// Sends requests to all entries in turn until the returned tasks are dropped.
    fn send_requests(&self, pause: Duration) -> JoinSet<()> {
        let (sent, started, route) = (Arc::clone(&self.sent), self.started, self.route);
        let answers = Arc::clone(&self.answers);
        let addresses = Arc::clone(&self.addresses);
        let mut callers = JoinSet::new();
        callers.spawn(async move {
            let mut requests = JoinSet::new();
            for number in 0.. {
                sent.lock().push(started.elapsed());
                let address = {
                    let addresses = addresses.lock();
                    SocketAddr::new(addresses[number % addresses.len()], CALLERS_PORT)
                };
                let answers = Arc::clone(&answers);
                requests.spawn(async move {
                    let answer = send_request(address, route, number).await;
                    answers.lock().push(answer);
                });
                tokio::time::sleep(pause).await;
            }
        });
        callers
    }

    /// The store goes away, and all registrations expire before it returns. Endpoints register again
    /// a little later.
    async fn lose_registrations(&self) {
        self.store.set_mode(StoreMode::Silent);
        tokio::time::sleep(OUTAGE).await;
        self.store.expire(PEERS_TOPIC);
        self.store.expire(REGISTRATIONS_TOPIC);
        self.store.set_mode(StoreMode::Up);
        tokio::time::sleep(REREGISTRATION_TIME).await;
        self.register_replicas();
    }

    /// Ends the entries in turn, and starts each again at once.
    async fn end_in_series(&mut self, ends: usize, pause: Duration) {
        for number in 0..ends {
            tokio::time::sleep(pause).await;
            let index = number % self.entries.len();
            // The former process ends before its addresses are used again.
            self.entries[index].child.kill().expect("process runs");
            self.entries[index].child.wait().expect("process ends");
            let address = self.addresses.lock()[index];
            self.entries[index] = self.start_entry(address, false);
        }
    }

    /// Ends the entries in turn and starts one elsewhere for each at once. Nobody keeps the
    /// registrations of those that have ended.
    async fn replace_in_series(&mut self, replacements: usize, pause: Duration) {
        for number in 0..replacements {
            tokio::time::sleep(pause).await;
            let index = number % self.entries.len();
            let address = entry_ip(self.network, (self.entries.len() + number) as u8);
            let replacement = self.start_entry(address, false);
            drop(std::mem::replace(&mut self.entries[index], replacement));
            let former = std::mem::replace(&mut self.addresses.lock()[index], address);
            self.store.put(PEERS_TOPIC, &format!("node-{former}"), "");
        }
    }

    fn arrivals_at(&self, replica: &ReplicaStandin) -> Vec<Duration> {
        let requests = replica.requests().into_iter();
        requests.map(|seen| seen.received_at.saturating_duration_since(self.started)).collect()
    }

    /// All replicas announce a rate limit from now on; returns the time.
    fn limit_replicas(&self, limit_per_s: f64) -> Duration {
        let limit = Backpressure::rate_limit(limit_per_s);
        self.replicas.iter().for_each(|replica| replica.set_backpressure(limit));
        self.started.elapsed()
    }

    fn assert_limit_is_kept(&self, limit_per_s: f64, limited_at: Duration) {
        let allowed = allowed_in_window(limit_per_s);
        for replica in &self.replicas {
            let (id, most) = (&replica.id, max_in_window(&self.arrivals_at(replica), limited_at));
            assert!(most > 0, "no request reached {id} under its limit");
            assert!(most <= allowed, "{most} requests in a window at {id}, {allowed} allowed");
        }
    }

    fn worst_window(&self) -> Option<RetryWindow> {
        let seen: Vec<RecordedRequest> =
            self.replicas.iter().flat_map(ReplicaStandin::requests).collect();
        let arrivals = seen.iter().map(|seen| {
            let at = seen.received_at.saturating_duration_since(self.started);
            (seen.header("x-attempt-id").unwrap_or_default(), at)
        });
        worst_retry_window(&self.sent.lock(), arrivals, RETRY_BOUNDS)
    }
}

async fn send_request(entry: SocketAddr, route: &str, number: usize) -> Option<StatusCode> {
    let call = Call {
        id: format!("attempt-{number}"),
        method: Method::GET,
        path: format!("/{route}/{number}"),
        key: KEY.to_owned(),
        time_left: CALL_TIME,
        prompt_parts: Vec::new(),
    };
    match CallerStandin::new(entry).call(&call).await {
        CallerOutcome::Response(response) => response.is_complete.then_some(response.status),
        CallerOutcome::Abandoned(_) | CallerOutcome::NoResponse | CallerOutcome::NoConnection => {
            None
        }
    }
}

/// A configuration without a route and its service.
fn without_service_of(route: &str, config: &str) -> String {
    let mut config: serde_json::Value = serde_json::from_str(config).expect("valid JSON");
    for (list, name) in [("Routes", format!("r-{route}")), ("Services", service_of(route))] {
        let members = config[list].as_array_mut().expect("a list");
        members.retain(|member| member["Name"] != *name);
    }
    config.to_string()
}

fn assert_within_budget(worst: Option<RetryWindow>) {
    let worst = worst.expect("some retries");
    assert!(!worst.is_exceeded(), "{worst:?}");
}

#[tokio::test]
async fn retry_budget_holds_while_registrations_of_entries_expire_in_an_outage() {
    let cluster = Cluster::start(6, IDEMPOTENT, Behaviour::Fail).await;
    cluster.wait_until_known().await;
    let callers = cluster.send_requests(CALL_PAUSE);

    cluster.lose_registrations().await;
    tokio::time::sleep(RETRY_BOUNDS.window).await;

    drop(callers);
    assert_within_budget(cluster.worst_window());
}

#[tokio::test]
async fn retry_budget_holds_while_entries_are_killed_in_series() {
    let mut cluster = Cluster::start(3, IDEMPOTENT, Behaviour::Fail).await;
    cluster.wait_until_known().await;
    let callers = cluster.send_requests(CALL_PAUSE);

    cluster.end_in_series(25, Duration::from_millis(600)).await;

    drop(callers);
    assert_within_budget(cluster.worst_window());
}

/// Guards against a process that passes for one without a predecessor as its address is new.
#[tokio::test]
async fn retry_budget_holds_while_entries_are_replaced_at_other_addresses() {
    let runs = [(4, 25, 800), (2, 14, 1500)].map(|(entries, replacements, pause_ms)| async move {
        let mut cluster = Cluster::start(entries, IDEMPOTENT, Behaviour::Fail).await;
        cluster.wait_until_known().await;
        let callers = cluster.send_requests(CALL_PAUSE);

        cluster.replace_in_series(replacements, Duration::from_millis(pause_ms)).await;

        drop(callers);
        cluster.worst_window()
    });

    for worst in futures::future::join_all(runs).await {
        assert_within_budget(worst);
    }
}

/// Guards against a service that forgets its retries because a configuration lacks it for a moment.
#[tokio::test]
async fn retry_budget_holds_while_a_service_is_removed_and_added_in_series() {
    let cluster = Cluster::start(2, IDEMPOTENT, Behaviour::Fail).await;
    cluster.wait_until_known().await;
    let callers = cluster.send_requests(SHORT_CALL_PAUSE);

    for version in 2..14 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let config = config(version, &[KEY]);
        let config =
            if version % 2 == 0 { without_service_of(IDEMPOTENT, &config) } else { config };
        cluster.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config);
    }

    drop(callers);
    assert_within_budget(cluster.worst_window());
}

/// Guards against arrivals that are not withdrawn from the budget.
#[tokio::test]
async fn retry_budget_holds_whatever_ends_attempts() {
    const EVENTS: u64 = 8;
    let gap = Duration::from_millis(20);
    let stream_ends = [
        Behaviour::Reset,
        Behaviour::Shed,
        Behaviour::OtherInstance,
        Behaviour::StreamCut { complete_events: 2, resumed_events: 0 },
        Behaviour::StreamHang { events: 1 },
        Behaviour::StreamUntilClose { events: 2, is_cut: true, resumed_events: 0 },
        Behaviour::StreamPause {
            events: EVENTS,
            gap,
            events_before: 2,
            pause: Duration::from_millis(1500),
        },
    ];
    let lookup_ends = [
        Behaviour::AnswerTwice,
        Behaviour::Hang,
        Behaviour::OtherInstance,
        Behaviour::Reset,
        Behaviour::Shed,
        Behaviour::Truncate,
    ];
    let ends = lookup_ends.map(|end| (IDEMPOTENT, end)).into_iter();
    let runs = ends.chain(stream_ends.map(|end| (STREAM, end))).map(|(route, end)| async move {
        let cluster = Cluster::start(2, route, end.clone()).await;
        cluster.wait_until_known().await;
        let callers = cluster.send_requests(CALL_PAUSE);
        tokio::time::sleep(RETRY_BOUNDS.window + CALL_TIME).await;
        drop(callers);
        (route, end, cluster.worst_window())
    });

    for (route, end, worst) in futures::future::join_all(runs).await {
        assert!(!worst.is_some_and(|worst| worst.is_exceeded()), "{route} {end:?}: {worst:?}");
    }
}

/// Guards against a budget that is kept by not using it.
#[tokio::test]
async fn allowed_retries_are_used_while_all_replicas_fail() {
    let cluster = Cluster::start(3, IDEMPOTENT, Behaviour::Fail).await;
    cluster.wait_until_known().await;
    let callers = cluster.send_requests(CALL_PAUSE);

    tokio::time::sleep(RETRY_BOUNDS.window + CALL_TIME).await;

    drop(callers);
    let worst = cluster.worst_window().expect("some retries");
    let used = worst.retries as f64 / worst.allowed as f64;
    assert!(used >= MIN_USED_FRACTION, "{worst:?}");
}

#[tokio::test]
async fn all_callers_are_served_while_one_of_six_replicas_fails() {
    let cluster = Cluster::start(3, IDEMPOTENT, Behaviour::Answer).await;
    cluster.wait_until_known().await;
    cluster.replicas[0].set_behaviour(Behaviour::Fail);
    let callers = cluster.send_requests(CALL_PAUSE);

    tokio::time::sleep(RETRY_BOUNDS.window).await;

    let answers = cluster.answers.lock().clone();
    drop(callers);
    assert!(!cluster.replicas[0].requests().is_empty());
    assert!(answers.len() > 100, "{} answers", answers.len());
    assert!(answers.iter().all(|answer| *answer == Some(StatusCode::OK)), "{answers:?}");
}

#[tokio::test]
async fn rate_limits_hold_while_entries_are_killed_in_series() {
    let limit_per_s = 3.0;
    let mut cluster = Cluster::start(3, IDEMPOTENT, Behaviour::Answer).await;
    cluster.wait_until_known().await;
    let limited_at = cluster.limit_replicas(limit_per_s);
    let callers = cluster.send_requests(SHORT_CALL_PAUSE);

    cluster.end_in_series(25, Duration::from_millis(600)).await;

    drop(callers);
    cluster.assert_limit_is_kept(limit_per_s, limited_at);
}

#[tokio::test]
async fn rate_limits_hold_while_registrations_of_entries_expire_in_an_outage() {
    let limit_per_s = 3.0;
    let cluster = Cluster::start(6, IDEMPOTENT, Behaviour::Answer).await;
    cluster.wait_until_known().await;
    let limited_at = cluster.limit_replicas(limit_per_s);
    let callers = cluster.send_requests(SHORT_CALL_PAUSE);

    cluster.lose_registrations().await;
    tokio::time::sleep(RETRY_BOUNDS.window).await;

    drop(callers);
    cluster.assert_limit_is_kept(limit_per_s, limited_at);
}
