//! Load sharing between real daemons on loopback.

use std::time::Duration;

use dahlia_daemon::control::{ControlParts, ExternalParts, start_control_with};
use dahlia_daemon::core::SharedSenders;
use dahlia_daemon::settings::Settings;
use dahlia_node::{Event, ItemLoad, LoadSharingSettings, PeerLoads};
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::time::{sleep, timeout};

/// A generous bound on any wait; a run that reaches it has failed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
const SETTINGS: &str = r#"
    [daemon]
    id = 1
    zone = "hall-a"
    region = "gulf-south"
    peer_address = "127.0.0.1:0"
    gateway_address = "127.0.0.1:0"
    operators_address = "127.0.0.1:0"
    seeds = []
    holds_groups = false
    [credentials]
    tenant_key = "key-of-tenants-0"
    operator_token = "key-of-operators"
    peer_key = "key-of-the-peers"
"#;

struct Gateway {
    control: ControlParts,
    received: UnboundedReceiver<PeerLoads>,
    load: ItemLoad,
}

fn start(number: u32, seeds: &[&Gateway]) -> Gateway {
    let mut settings: Settings = toml::from_str(SETTINGS).expect("the settings are complete");
    settings.daemon.id.0 = number;
    settings.daemon.seeds = seeds.iter().map(|it| it.control.peer_address).collect();
    settings.load_sharing = Some(LoadSharingSettings::default());
    let (loads, received) = mpsc::unbounded_channel();
    let external = ExternalParts {
        layout_store: None,
        key_value: None,
        previous_incarnation: None,
        follows_configuration: false,
        shared: SharedSenders { loads, ..SharedSenders::disconnected() },
    };
    let control = start_control_with(&settings, external).expect("it starts");
    let load = ItemLoad { item: u64::from(number), in_flight: number, ..ItemLoad::default() };
    Gateway { control, received, load }
}

/// Waits until the gateway has received exactly these loads.
async fn wait_for_loads(gateway: &mut Gateway, expected: &[ItemLoad]) {
    let waits = async {
        while let Some(received) = gateway.received.recv().await {
            if received.loads == expected {
                return;
            }
        }
    };
    timeout(WAIT_TIMEOUT, waits).await.expect("the loads are received");
}

#[tokio::test(flavor = "multi_thread")]
async fn each_gateway_receives_the_loads_of_the_others() {
    let first = start(1, &[]);
    let second = start(2, &[&first]);
    let third = start(3, &[&first]);
    let mut gateways = [first, second, third];
    for gateway in &gateways {
        let (core, load) = (gateway.control.core.clone(), gateway.load);
        tokio::spawn(async move {
            loop {
                core.send_event(Event::OwnLoads(vec![load])).await;
                sleep(REPORT_INTERVAL).await;
            }
        });
    }
    let loads = [gateways[0].load, gateways[1].load, gateways[2].load];
    for (position, gateway) in gateways.iter_mut().enumerate() {
        let mut other_loads = loads.to_vec();
        other_loads.remove(position);
        wait_for_loads(gateway, &other_loads).await;
    }
    let mut followers = 0;
    for gateway in &gateways {
        let status = gateway.control.core.status().await.load_sharing.expect("it shares");
        followers += status.followers;
        let text = gateway.control.metrics.text().expect("metrics are written");
        assert!(text.contains(&format!("dahlialadder_load_followers {}", status.followers)));
        gateway.control.stop();
    }
    assert!(followers >= 2, "the aggregator has two followers");
}
