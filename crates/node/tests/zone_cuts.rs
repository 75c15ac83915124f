//! Zones that are cut off, in virtual time: which gateways detect it, and how soon turns continue elsewhere.

mod cluster;

use std::collections::BTreeSet;

use cluster::{Cluster, GATEWAY, STORES, gateway_beside};
use dahlia_ledger::{LedgerCommand, LedgerReply, OpenTurn, ProgramName, TurnId};
use dahlia_node::Reachability;
use dahlia_node::request::Response;
use dahlia_replication::group::GroupSettings;
use dahlia_types::{Duration, Timestamp, Tokens, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HEARTBEAT_MS: u64 = 150;
const ELECTION_TIMEOUT_MS: u64 = 600;
/// Maximum time until turns outside of a cut continue: callers' programs have less than a second to spare.
const MAX_INTERRUPTION: Duration = Duration::from_millis(500);
/// Time to detect a cut: an answer is overdue, zones are probed, and ticks lie in between.
const DETECTION_TIME: Duration = Duration::from_millis(450);

fn group_settings() -> GroupSettings {
    GroupSettings {
        heartbeat_interval_ms: HEARTBEAT_MS,
        election_timeout_ms: ELECTION_TIMEOUT_MS,
        ..GroupSettings::default()
    }
}

fn open_turn(turn: &str) -> LedgerCommand {
    open_turn_in("program", turn, 1_000, 1)
}

fn open_turn_in(program: &str, turn: &str, budget: u64, most: u64) -> LedgerCommand {
    LedgerCommand::Open(OpenTurn {
        program: ProgramName::new(None, program),
        turn: TurnId::new(None, turn),
        budget: Some(Tokens(budget)),
        max_generated: Tokens(most),
        input: None,
        at: Timestamp::ZERO,
    })
}

fn is_opened(response: &Response) -> bool {
    matches!(response, Response::Ledger(LedgerReply::Opened(_)))
}

fn zone_of(store: u32) -> BTreeSet<Zone> {
    [Zone::new(format!("zone-{store}"))].into()
}

/// Starts a cluster whose group has served a turn. Returns it with the group's owner, which is not in the
/// zone of [`GATEWAY`].
fn serving_cluster() -> (Cluster, u32) {
    let mut cluster = Cluster::start_in_zones(group_settings());
    cluster.send_until_answered(&open_turn("first"));
    let owner = cluster.owner().expect("it has served a turn");
    assert_ne!(gateway_beside(owner), GATEWAY);
    (cluster, owner)
}

/// The store in the zone of [`GATEWAY`].
const STORE_BESIDE: u32 = STORES[2];

#[test]
fn a_gateway_in_a_zone_that_is_cut_off_detects_it_and_those_outside_do_not() {
    let (mut cluster, _) = serving_cluster();
    cluster.cut_zone_of(STORE_BESIDE);
    let cut_at = cluster.now;
    cluster.send_command(open_turn("inside"));
    cluster.run_until(DETECTION_TIME, |cluster| cluster.reach(GATEWAY).cut_off.is_some());
    let cut = cluster.reach(GATEWAY).cut_off.expect("it has just been cut off");
    assert!(!cut.is_alone, "the store of its zone answers");
    assert!(cut.since >= cut_at);
    cluster.advance(Duration::from_secs(3));
    for store in [STORES[0], STORES[1]] {
        let reach = cluster.reach(gateway_beside(store));
        assert_eq!(reach.silent_zones, zone_of(STORE_BESIDE));
        assert_eq!(reach.cut_off, None);
    }
    cluster.heal_links();
    let is_restored = |cluster: &Cluster| cluster.reach(GATEWAY) == Reachability::default();
    cluster.run_until(Duration::from_secs(1), is_restored);
}

#[test]
fn a_gateway_that_is_cut_off_alone_reports_it() {
    let (mut cluster, _) = serving_cluster();
    cluster.cut_from_all(GATEWAY);
    cluster.send_command(open_turn("inside"));
    cluster.run_until(DETECTION_TIME, |cluster| cluster.reach(GATEWAY).cut_off.is_some());
    cluster.advance(Duration::from_millis(200));
    assert!(cluster.reach(GATEWAY).cut_off.expect("it is still cut off").is_alone);
}

#[test]
fn a_gateway_that_reaches_stores_through_another_is_not_cut_off() {
    let (mut cluster, _) = serving_cluster();
    cluster.cut_from_stores(GATEWAY);
    let id = cluster.send_command(open_turn("by way of another"));
    assert!(is_opened(&cluster.wait_for_response(id).0));
    cluster.advance(Duration::from_secs(3));
    assert_eq!(cluster.reach(GATEWAY).cut_off, None);
}

/// Turning callers away gains nothing if all other gateways see the same.
#[test]
fn no_gateway_is_cut_off_when_all_stores_are_down() {
    let (mut cluster, _) = serving_cluster();
    STORES.into_iter().for_each(|store| cluster.kill(store));
    for round in 0..5 {
        cluster.send_command(open_turn(&format!("turn-{round}")));
        cluster.advance(Duration::from_secs(1));
        for store in STORES {
            assert_eq!(cluster.reach(gateway_beside(store)), Reachability::default());
        }
    }
}

#[test]
fn turns_continue_within_half_a_second_when_the_zone_of_their_owner_is_cut_off() {
    for offset in 0..40 {
        let (mut cluster, owner) = serving_cluster();
        cluster.advance(Duration::from_millis(1_000 + offset * 7));
        cluster.cut_zone_of(owner);
        let id = cluster.send_command(open_turn("outside"));
        let (response, took) = cluster.wait_for_response(id);
        assert!(is_opened(&response), "cut {offset}: {response:?}");
        assert!(took <= MAX_INTERRUPTION, "cut {offset}: it took {took:?}");
    }
}

/// A single paused store may resume at any moment. Its zone still answers, so the whole election timeout
/// applies.
#[test]
fn an_owner_that_falls_silent_alone_keeps_its_election_timeout() {
    let (mut cluster, owner) = serving_cluster();
    cluster.cut_from_all(owner);
    cluster.advance(Duration::from_millis(ELECTION_TIMEOUT_MS - HEARTBEAT_MS));
    assert_eq!(cluster.other_owner(owner), None);
    cluster.run_until(Duration::from_secs(3), |cluster| cluster.other_owner(owner).is_some());
}

/// Daemons that are slow but not silent keep their groups: an election would cost their callers more.
#[test]
fn a_zone_that_is_slow_keeps_its_groups() {
    let (mut cluster, owner) = serving_cluster();
    for daemon in [owner, gateway_beside(owner)] {
        cluster.slow_down(daemon, Duration::from_millis(80));
    }
    for round in 0..20 {
        let id = cluster.send_command(open_turn(&format!("turn-{round}")));
        assert!(is_opened(&cluster.wait_for_response(id).0));
        cluster.advance(Duration::from_millis(300));
        assert_eq!(cluster.owner(), Some(owner));
        assert_eq!(cluster.other_owner(owner), None);
    }
}

/// The second of two cuts happens during the election that the first one caused.
#[test]
fn a_second_cut_during_the_election_leaves_one_owner_and_no_turn_lost() {
    for offset in 0..20 {
        let (mut cluster, owner) = serving_cluster();
        cluster.cut_zone_of(owner);
        cluster.advance(Duration::from_millis(250 + offset * 20));
        cluster.heal_links();
        let others = STORES.into_iter().filter(|store| ![owner, STORE_BESIDE].contains(store));
        others.for_each(|store| cluster.cut_zone_of(store));
        let id = cluster.send_command(open_turn("outside"));
        let (response, _) = cluster.wait_for_response(id);
        assert!(is_opened(&response), "cut {offset}: {response:?}");
    }
}

/// Cuts a random zone or a single direction between two daemons, or restores all links. Repeated calls overlap
/// with the elections that earlier cuts cause.
fn cut_randomly(cluster: &mut Cluster, random: &mut ChaCha8Rng) {
    match random.random_range(0..4) {
        0 => cluster.heal_links(),
        1 | 2 => {
            if random.random_bool(0.5) {
                cluster.heal_links();
            }
            cluster.cut_zone_of(STORES[random.random_range(0..STORES.len())]);
        }
        _ => {
            let daemons = [STORES[0], STORES[1], STORES[2], GATEWAY];
            let mut draw = || daemons[random.random_range(0..daemons.len())];
            let (from, to) = (draw(), draw());
            cluster.cut_one_way(from, to);
        }
    }
}

/// In any sequence of owners, no more turns are opened than the budget allows, and a turn that was opened for a
/// caller stays opened.
#[test]
fn budgets_hold_over_cuts_in_any_order() {
    const SEEDS: u64 = 1_000;
    const TURNS: u64 = 15;
    const MAX_OPEN_TURNS: usize = 10;
    let command =
        |turn| open_turn_in("bounded", &format!("turn-{turn}"), 10 * MAX_OPEN_TURNS as u64, 10);
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut cluster, _) = serving_cluster();
        let mut asked = Vec::new();
        for turn in 0..TURNS {
            cut_randomly(&mut cluster, &mut random);
            asked.push((turn, cluster.send_command(command(turn))));
            cluster.advance(Duration::from_millis(random.random_range(1..700)));
        }
        cluster.heal_links();
        cluster.advance(Duration::from_secs(4));
        let mut acknowledged = Vec::new();
        for (turn, id) in asked {
            if is_opened(&cluster.wait_for_response(id).0) {
                acknowledged.push(turn);
            }
        }
        let is_open = |turn: &u64| {
            matches!(cluster.send_until_answered(&command(*turn)), LedgerReply::Opened(_))
        };
        let open_turns: Vec<u64> = (0..TURNS).filter(is_open).collect();
        assert!(open_turns.len() <= MAX_OPEN_TURNS, "seed {seed}: {open_turns:?} are opened");
        let is_lost = |turn: &&u64| !open_turns.contains(turn);
        assert_eq!(
            acknowledged.iter().find(is_lost),
            None,
            "seed {seed}: a turn was opened and is lost"
        );
    }
}
