//! Zones that are cut off, in virtual time: who turns callers away, and how soon turns go on elsewhere.

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
/// Within this time turns outside of a cut go on: callers' programs have less than a second to spare.
const GOES_ON: Duration = Duration::from_millis(500);
/// A command is doubted, its zones are asked, and ticks lie between.
const CUT_IS_KNOWN: Duration = Duration::from_millis(450);

fn groups() -> GroupSettings {
    GroupSettings {
        heartbeat_interval_ms: HEARTBEAT_MS,
        election_timeout_ms: ELECTION_TIMEOUT_MS,
        ..GroupSettings::default()
    }
}

fn open(turn: &str) -> LedgerCommand {
    open_in("program", turn, 1_000, 1)
}

fn open_in(program: &str, turn: &str, budget: u64, most: u64) -> LedgerCommand {
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

/// A system whose group has served a turn, and the group's owner, which isn't in the zone of the gateway
/// that asks.
fn serving() -> (Cluster, u32) {
    let mut cluster = Cluster::start_in_zones(groups());
    cluster.send_until_answered(&open("first"));
    let owner = cluster.owner().expect("it has served a turn");
    assert_ne!(gateway_beside(owner), GATEWAY);
    (cluster, owner)
}

/// The store in the zone of the gateway that asks.
const STORE_BESIDE: u32 = STORES[2];

#[test]
fn a_gateway_in_a_zone_that_is_cut_off_knows_soon_and_those_outside_stay_in() {
    let (mut cluster, _) = serving();
    cluster.cut_zone_of(STORE_BESIDE);
    let cut_at = cluster.now;
    cluster.send_command(open("inside"));
    cluster.run_until(CUT_IS_KNOWN, |cluster| cluster.reach(GATEWAY).cut_off.is_some());
    let cut = cluster.reach(GATEWAY).cut_off.expect("just seen");
    assert!(!cut.is_alone, "the store of its zone answers");
    assert!(cut.since >= cut_at);
    cluster.advance(Duration::from_secs(3));
    for store in [STORES[0], STORES[1]] {
        let reach = cluster.reach(gateway_beside(store));
        assert_eq!(reach.silent_zones, zone_of(STORE_BESIDE));
        assert_eq!(reach.cut_off, None);
    }
    cluster.heal_links();
    let is_back = |cluster: &Cluster| cluster.reach(GATEWAY) == Reachability::default();
    cluster.run_until(Duration::from_secs(1), is_back);
}

#[test]
fn a_gateway_that_is_cut_off_alone_says_so() {
    let (mut cluster, _) = serving();
    cluster.cut_from_all(GATEWAY);
    cluster.send_command(open("inside"));
    cluster.run_until(CUT_IS_KNOWN, |cluster| cluster.reach(GATEWAY).cut_off.is_some());
    cluster.advance(Duration::from_millis(200));
    assert!(cluster.reach(GATEWAY).cut_off.expect("still").is_alone);
}

#[test]
fn a_gateway_that_is_cut_off_from_stores_only_stays_in() {
    let (mut cluster, _) = serving();
    cluster.cut_from_stores(GATEWAY);
    let id = cluster.send_command(open("by way of another"));
    assert!(is_opened(&cluster.wait_for_response(id).0));
    cluster.advance(Duration::from_secs(3));
    assert_eq!(cluster.reach(GATEWAY).cut_off, None);
}

/// Turning callers away gains nothing where all others would see the same.
#[test]
fn nobody_turns_callers_away_when_all_stores_are_down() {
    let (mut cluster, _) = serving();
    STORES.into_iter().for_each(|store| cluster.kill(store));
    for round in 0..5 {
        cluster.send_command(open(&format!("turn-{round}")));
        cluster.advance(Duration::from_secs(1));
        for store in STORES {
            assert_eq!(cluster.reach(gateway_beside(store)), Reachability::default());
        }
    }
}

#[test]
fn turns_go_on_within_half_a_second_when_the_zone_of_their_owner_is_cut_off() {
    for offset in 0..40 {
        let (mut cluster, owner) = serving();
        cluster.advance(Duration::from_millis(1_000 + offset * 7));
        cluster.cut_zone_of(owner);
        let id = cluster.send_command(open("outside"));
        let (response, took) = cluster.wait_for_response(id);
        assert!(is_opened(&response), "cut {offset}: {response:?}");
        assert!(took <= GOES_ON, "cut {offset}: it took {took:?}");
    }
}

/// A store that stands still alone may go on any moment: its zone is heard, so it has its whole time.
#[test]
fn an_owner_that_falls_silent_alone_keeps_its_time() {
    let (mut cluster, owner) = serving();
    cluster.cut_from_all(owner);
    cluster.advance(Duration::from_millis(ELECTION_TIMEOUT_MS - HEARTBEAT_MS));
    assert_eq!(cluster.other_owner(owner), None);
    cluster.run_until(Duration::from_secs(3), |cluster| cluster.other_owner(owner).is_some());
}

/// Daemons that are slow, and not silent, lose no group: an election would cost their callers more.
#[test]
fn a_zone_that_is_slow_keeps_its_groups() {
    let (mut cluster, owner) = serving();
    for daemon in [owner, gateway_beside(owner)] {
        cluster.slow_down(daemon, Duration::from_millis(80));
    }
    for round in 0..20 {
        let id = cluster.send_command(open(&format!("turn-{round}")));
        assert!(is_opened(&cluster.wait_for_response(id).0));
        cluster.advance(Duration::from_millis(300));
        assert_eq!(cluster.owner(), Some(owner));
        assert_eq!(cluster.other_owner(owner), None);
    }
}

/// Two cuts in a row, the second one during the election that the first one caused.
#[test]
fn a_second_cut_during_the_election_leaves_one_owner_and_no_turn_lost() {
    for offset in 0..20 {
        let (mut cluster, owner) = serving();
        cluster.cut_zone_of(owner);
        cluster.advance(Duration::from_millis(250 + offset * 20));
        cluster.heal_links();
        let others = STORES.into_iter().filter(|store| ![owner, STORE_BESIDE].contains(store));
        others.for_each(|store| cluster.cut_zone_of(store));
        let id = cluster.send_command(open("outside"));
        let (response, _) = cluster.wait_for_response(id);
        assert!(is_opened(&response), "cut {offset}: {response:?}");
    }
}

/// Cuts of zones and of single ways, in a row and during the elections that they cause.
fn cut_something(cluster: &mut Cluster, random: &mut ChaCha8Rng) {
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

/// However owners follow each other, no more turns are opened than the budget bears, and what was
/// opened for a caller stays opened.
#[test]
fn budgets_hold_over_cuts_in_any_order() {
    const SEEDS: u64 = 1_000;
    const TURNS: u64 = 15;
    const BORNE: usize = 10;
    let command = |turn| open_in("bounded", &format!("turn-{turn}"), 10 * BORNE as u64, 10);
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut cluster, _) = serving();
        let mut asked = Vec::new();
        for turn in 0..TURNS {
            cut_something(&mut cluster, &mut random);
            asked.push((turn, cluster.send_command(command(turn))));
            cluster.advance(Duration::from_millis(random.random_range(1..700)));
        }
        cluster.heal_links();
        cluster.advance(Duration::from_secs(4));
        let mut told = Vec::new();
        for (turn, id) in asked {
            if is_opened(&cluster.wait_for_response(id).0) {
                told.push(turn);
            }
        }
        let stands = |turn: &u64| {
            matches!(cluster.send_until_answered(&command(*turn)), LedgerReply::Opened(_))
        };
        let standing: Vec<u64> = (0..TURNS).filter(stands).collect();
        assert!(standing.len() <= BORNE, "seed {seed}: {standing:?} are opened");
        let is_lost = |turn: &&u64| !standing.contains(turn);
        assert_eq!(told.iter().find(is_lost), None, "seed {seed}: opened, and then not");
    }
}
