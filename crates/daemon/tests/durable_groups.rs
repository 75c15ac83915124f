//! Store daemons with disks on loopback, reached through a gateway without groups. The tests stop all
//! stores at once, remove disks, and retire stores.

use std::net::SocketAddr;
use std::time::Duration;

use dahlia_daemon::control::{ControlParts, start_control};
use dahlia_daemon::settings::Settings;
use dahlia_node::Event;
use dahlia_node::request::{Request, Response};
use dahlia_program::ProgramSpecification;
use dahlia_standins::{KeyValueServer, KeyValueSettings, RunningServer};
use dahlia_types::{Duration as Length, GroupId, ModelId, ProgramId, ReplicaId, TenantId, Tokens};
use tempfile::TempDir;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep, timeout};

const STORES: u32 = 4;
const GATEWAY: u32 = 9;
const GROUPS: u32 = 4;
const PROGRAMS: u64 = 40;
/// A generous bound on any wait; a run that reaches it has failed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// One daemon on its own runtime. Shutting that down ends all its tasks at once.
struct Daemon {
    settings: Settings,
    running: Option<(Runtime, ControlParts)>,
}

impl Daemon {
    fn start(&mut self) {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime starts");
        let guard = runtime.enter();
        let control = start_control(&self.settings).expect("it starts");
        drop(guard);
        // A restart uses the address that the other daemons know.
        self.settings.daemon.peer_address = control.peer_address;
        self.running = Some((runtime, control));
    }

    /// Stops the daemon. A sync in progress finishes first, as the next process would not overlap with it
    /// either.
    async fn kill(&mut self) {
        if let Some((runtime, control)) = self.running.take() {
            control.stop();
            tokio::task::spawn_blocking(move || runtime.shutdown_timeout(WAIT_TIMEOUT))
                .await
                .expect("the runtime ends");
        }
    }

    fn control(&self) -> &ControlParts {
        &self.running.as_ref().expect("it runs").1
    }

    fn replica(&self) -> ReplicaId {
        self.control().core.replica_id()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some((runtime, _)) = self.running.take() {
            runtime.shutdown_background();
        }
    }
}

struct System {
    stores: Vec<Daemon>,
    gateway: Daemon,
    folders: Vec<TempDir>,
    _key_value: RunningServer,
}

impl System {
    async fn start() -> Self {
        let key_value = KeyValueServer::start(KeyValueSettings::default()).await.expect("starts");
        let service = key_value.address();
        let folders: Vec<TempDir> =
            (0..STORES).map(|_| TempDir::new().expect("a folder")).collect();
        let mut stores: Vec<Daemon> = Vec::new();
        for number in 1..=STORES {
            let mut settings = settings(number, service);
            settings.daemon.data_folder = Some(folders[number as usize - 1].path().to_owned());
            settings.daemon.seeds = stores.iter().map(|it| it.control().peer_address).collect();
            let mut store = Daemon { settings, running: None };
            store.start();
            stores.push(store);
        }
        let addresses: Vec<SocketAddr> =
            stores.iter().map(|store| store.control().peer_address).collect();
        for store in &mut stores {
            store.settings.daemon.seeds.clone_from(&addresses);
        }
        let mut gateway = Daemon { settings: settings(GATEWAY, service), running: None };
        gateway.settings.daemon.seeds = addresses;
        gateway.settings.daemon.holds_groups = false;
        gateway.start();
        let system = Self { stores, gateway, folders, _key_value: key_value };
        system.wait_until_all_led_and_complete().await;
        system
    }

    /// Counts groups that are led and groups that lack a voter, over all running stores.
    async fn count_groups(&self) -> (usize, usize) {
        let mut sums = (0, 0);
        for store in self.stores.iter().filter(|store| store.running.is_some()) {
            let status = store.control().core.status().await;
            sums = (sums.0 + status.groups_led, sums.1 + status.groups_short);
        }
        sums
    }

    async fn wait_until_all_led_and_complete(&self) {
        let started = Instant::now();
        while self.count_groups().await != (GROUPS as usize, 0) {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "led, short: {:?}",
                self.count_groups().await
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until all stores know the replica. Before that, they would count the group as complete with
    /// the previous incarnation.
    async fn wait_until_known(&self, replica: ReplicaId) {
        let started = Instant::now();
        for store in &self.stores {
            let knows = async || {
                let daemons = store.control().core.daemons().await;
                daemons.iter().any(|member| member.record.info.replica() == replica)
            };
            while !knows().await {
                assert!(started.elapsed() < WAIT_TIMEOUT, "{replica} is not known");
                sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Repeats a request at the gateway until an owner answers with a program.
    async fn program(&self, request: Request) {
        let started = Instant::now();
        loop {
            let answer = self.gateway.control().core.request(request.clone());
            let answer = timeout(ANSWER_TIMEOUT, answer).await;
            if matches!(answer, Ok(Response::Program(_))) {
                return;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "{request:?}: {answer:?}");
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn create_programs(&self, numbers: std::ops::Range<u64>) {
        for number in numbers {
            let specification = ProgramSpecification {
                tenant: TenantId::new("roof-crew"),
                model: ModelId::new("agent-llm"),
                budget: Tokens(100_000),
                idle_expiry: Length::from_secs(3_600),
            };
            self.program(Request::Create { program: program(number), specification }).await;
        }
    }

    /// Checks that every acknowledged program exists.
    async fn check_programs(&self, numbers: std::ops::Range<u64>) {
        for number in numbers {
            self.program(Request::Show { program: program(number), with_calls: false }).await;
        }
    }
}

fn program(number: u64) -> ProgramId {
    ProgramId { group: GroupId((number % u64::from(GROUPS)) as u32), number }
}

fn settings(id: u32, key_value: SocketAddr) -> Settings {
    let zone = id % STORES;
    let text = format!(
        r#"
[daemon]
id = {id}
zone = "zone-{zone}"
region = "gulf-south"
peer_address = "127.0.0.1:0"
gateway_address = "127.0.0.1:0"
operators_address = "127.0.0.1:0"
seeds = []
[credentials]
tenant_key = "tenant-key-of-tests"
operator_token = "operator-token-of-tests"
peer_key = "peer-key-of-the-tests"
[configuration]
spread_within = 1000000
[layout]
groups = {GROUPS}
bootstrap_daemons = {STORES}
[platform]
key_value = "{key_value}"
[[platform.engines]]
id = "engine-1"
address = "127.0.0.1:1"
zone = "zone-1"
models = ["agent-llm"]
"#
    );
    let settings: Settings = toml::from_str(&text).expect("the settings are valid TOML");
    settings.check().expect("the settings are valid");
    settings
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_acknowledged_is_lost_when_all_stores_stop_at_once() {
    let mut system = System::start().await;
    let identities: Vec<ReplicaId> = system.stores.iter().map(Daemon::replica).collect();
    assert_eq!(system.gateway.control().core.status().await.groups_held, 0);
    system.create_programs(0..PROGRAMS).await;
    for store in &mut system.stores {
        store.kill().await;
    }
    let restarted_at = Instant::now();
    system.stores.iter_mut().for_each(Daemon::start);
    while system.count_groups().await.0 != GROUPS as usize {
        assert!(restarted_at.elapsed() < WAIT_TIMEOUT, "{:?}", system.count_groups().await);
        sleep(POLL_INTERVAL).await;
    }
    println!("All groups led again after {:?}.", restarted_at.elapsed());
    system.check_programs(0..PROGRAMS).await;
    println!("All programs shown after {:?}.", restarted_at.elapsed());
    let identities_after: Vec<ReplicaId> = system.stores.iter().map(Daemon::replica).collect();
    assert_eq!(identities_after, identities);
    system.wait_until_all_led_and_complete().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn disks_may_be_lost_one_after_the_other() {
    let mut system = System::start().await;
    system.create_programs(0..PROGRAMS).await;
    for lost in 0..STORES as usize {
        let identity = system.stores[lost].replica();
        system.stores[lost].kill().await;
        let folder = system.folders[lost].path().to_owned();
        std::fs::remove_dir_all(&folder).expect("the disk is emptied");
        std::fs::create_dir(&folder).expect("an empty disk");
        let restarted_at = Instant::now();
        system.stores[lost].start();
        let replica = system.stores[lost].replica();
        assert!(replica.incarnation > identity.incarnation);
        system.wait_until_known(replica).await;
        system.wait_until_all_led_and_complete().await;
        println!("Whole again after {:?}.", restarted_at.elapsed());
        let next = PROGRAMS + lost as u64;
        system.create_programs(next..next + 1).await;
    }
    // Now no store has the disk that it had when the programs were acknowledged.
    system.check_programs(0..PROGRAMS + u64::from(STORES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retired_store_hands_over_its_replicas_while_it_serves() {
    let mut system = System::start().await;
    system.create_programs(0..PROGRAMS).await;
    let retiring = system.stores[0].replica().daemon;
    let core = system.stores[0].control().core.clone();
    assert!(core.status().await.groups_held > 0, "there is something to move");
    core.send_event(Event::Retire).await;
    let ordered = Instant::now();
    while !core.status().await.retired {
        assert!(ordered.elapsed() < WAIT_TIMEOUT, "{:?}", core.status().await);
        sleep(POLL_INTERVAL).await;
    }
    println!("Emptied after {:?}.", ordered.elapsed());
    assert_eq!(core.status().await.groups_led, 0);
    system.stores[0].kill().await;
    std::fs::remove_dir_all(system.folders[0].path()).expect("the disk is taken away");
    system.wait_until_all_led_and_complete().await;
    system.check_programs(0..PROGRAMS).await;
    for store in &system.stores[1..] {
        let status = store.control().core.status().await;
        assert_eq!(status.groups_held, GROUPS as usize, "three stores hold all but {retiring}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_whose_replicas_cannot_move_is_not_reported_as_retired() {
    let system = System::start().await;
    system.create_programs(0..PROGRAMS).await;
    for store in &system.stores[..2] {
        store.control().core.send_event(Event::Retire).await;
    }
    // The other two are then voters of all groups, and a third voter has to stay.
    let started = Instant::now();
    let held = async |store: &Daemon| store.control().core.status().await.groups_held;
    while held(&system.stores[2]).await + held(&system.stores[3]).await < 2 * GROUPS as usize {
        assert!(started.elapsed() < WAIT_TIMEOUT, "replicas move to those that stay");
        sleep(POLL_INTERVAL).await;
    }
    system.create_programs(PROGRAMS..PROGRAMS + u64::from(GROUPS)).await;
    let retired = async |store: &Daemon| store.control().core.status().await.retired;
    assert!(!(retired(&system.stores[0]).await && retired(&system.stores[1]).await));
    system.check_programs(0..PROGRAMS).await;
}
