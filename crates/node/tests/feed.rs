//! The feed in virtual time: the calls that it costs at the source, and how long changes stay unknown to a
//! daemon when a daemon in each role fails at the worst moment.

#[path = "feed/zone.rs"]
mod zone;

use std::collections::BTreeMap;

use dahlia_node::feed::{
    Feed, FeedAction, FeedMembers, FeedMessage, FeedOrder, FeedSettings, SourceReading,
    SourceReport, SubscriptionEcho,
};
use dahlia_types::{DaemonId, Duration, Timestamp};
use zone::{DEATH_DETECTION_TIME, Fault, MAX_CHANGE_DELAY, START, STEP, Zone, address, settings};

#[test]
fn calls_to_the_source_do_not_grow_with_the_daemons_that_share_a_reader() {
    let length = Duration::from_secs(30);
    let mut rates = BTreeMap::new();
    for daemons in [2, 12, 43, 166] {
        let mut zone = Zone::new(daemons);
        zone.pass(length, None);
        let rate = zone.calls as f64 / length.as_secs_f64();
        println!("{daemons} daemons: {rate:.1} calls a second");
        rates.insert(daemons, rate);
    }
    // Two daemons read for themselves, 0.5 calls a second each.
    assert!(rates[&2] <= 1.25, "{rates:?}");
    // Larger zones have one reader for each fifty daemons, which calls every 0.6 s.
    for daemons in [12, 43, 166] {
        let readers = f64::from(u32::div_ceil(daemons, 50));
        assert!(rates[&daemons] <= 2.0 * readers, "{rates:?}");
    }
}

/// A gateway's link carries 3.75 MB a second. The release of a third of 10,000 servers causes about 230
/// changes a second of 300 bytes each. A single reader would have to send 10 MB a second to 150 other daemons
/// of its zone.
#[test]
fn a_reader_has_no_more_subscribers_than_its_link_carries() {
    for daemons in [43, 166, 332] {
        let mut zone = Zone::new(daemons);
        zone.report_receivers.clear();
        zone.pass(Duration::from_secs(10), Some(Duration::from_millis(500)));
        let subscribers: BTreeMap<u32, usize> =
            zone.report_receivers.iter().map(|(reader, to)| (*reader, to.len())).collect();
        println!("{daemons} daemons: {subscribers:?}");
        let most = subscribers.values().max().copied().unwrap_or_default();
        // One and a half times an even share, since readers are assigned pseudo-randomly.
        assert!(most <= 75, "{daemons} daemons: {most} subscribers of one reader");
    }
}

#[test]
fn changes_are_known_in_time_despite_any_fault_of_the_reader() {
    struct Case {
        name: &'static str,
        fault: Fault,
        /// Duration of the fault; none if it is permanent and others come to consider the reader dead.
        length: Option<Duration>,
    }
    let cases = [
        Case { name: "ends", fault: Fault::Dead, length: None },
        Case { name: "is cut off", fault: Fault::CutFromSource, length: None },
        Case { name: "freezes", fault: Fault::Frozen, length: Some(Duration::from_millis(3_200)) },
        Case {
            name: "is held back",
            fault: Fault::HeldBack,
            length: Some(Duration::from_millis(5_500)),
        },
    ];
    for Case { name, fault, length } in cases {
        // Covers all phases of the reader's calls and of the changes.
        for phase in 0..20 {
            let mut zone = Zone::new(43);
            let interval = Some(Duration::from_millis(700));
            zone.pass(Duration::from_millis(2_000 + phase * 67), interval);
            let reader = zone.reader().expect("43 daemons share a reader");
            zone.inject_fault(reader, fault);
            zone.pass(length.unwrap_or(DEATH_DETECTION_TIME), interval);
            match length {
                Some(_) => zone.clear_fault(reader),
                None => zone.dead.push(reader),
            }
            zone.pass(Duration::from_secs(12), interval);
            let delay = zone.max_change_delay;
            assert!(delay <= MAX_CHANGE_DELAY, "the reader {name}, phase {phase}: {delay:?}");
        }
    }
}

/// Guards against daemons that go by reports which are ever older, because the way between them takes longer and
/// longer: a queue that fills, or a daemon that is short of processor time.
#[test]
fn changes_are_known_in_time_although_reports_take_longer_and_longer() {
    let growth = Duration::from_millis(500);
    let interval = Some(Duration::from_millis(700));
    for most in [Duration::from_secs(3), Duration::from_secs(6)] {
        let mut zone = Zone::new(43);
        while zone.link_delay < most {
            // Half a second more for each second that passes.
            for _ in 0..50 {
                zone.link_delay = Duration(zone.link_delay.0 + growth.0 / 50);
                zone.pass(STEP, interval);
            }
        }
        zone.pass(Duration::from_secs(12), interval);
        let delay = zone.max_change_delay;
        assert!(delay <= MAX_CHANGE_DELAY, "up to {most:?}: {delay:?}");
    }
}

/// Readers end one after the other. Their followers must switch to the next reader without reading for
/// themselves for long. A source that counts changes that it does not report makes this harder: the reports
/// of a new reader begin after the revision that its followers know.
#[test]
fn followers_switch_to_the_next_reader_at_the_cost_of_a_call_or_two() {
    const DAEMONS: u32 = 166;
    const READERS: f64 = 4.0;
    let mut zone = Zone::new(DAEMONS);
    let mut ended = 0;
    for _ in 0..6 {
        // The last one in their order is among those that end: its successor has read for nobody before.
        let readers: Vec<u32> = zone.healthy_readers().collect();
        let reader = readers[ended as usize % readers.len()];
        zone.inject_fault(reader, Fault::Dead);
        ended += 1;
        zone.pass(DEATH_DETECTION_TIME, None);
        zone.dead.push(reader);
        zone.pass(Duration::from_secs(4), None);
    }
    // A reader that ends has a fourth of them.
    let followers = f64::from(DAEMONS) / READERS;
    let own_reading = zone.own_reading_time.as_secs_f64() / f64::from(ended) / followers;
    println!("each follower reads for itself for {own_reading:.2} s for each reader that ended");
    // On average half of the interval of 0.6 s between reports of the next reader.
    assert!(own_reading <= 0.3, "{own_reading:.2} s");
    let paused = zone.daemons.values().filter(|daemon| daemon.reading == SourceReading::Paused);
    assert!(paused.count() as f64 >= f64::from(DAEMONS - ended) - 2.0 * READERS);
}

/// With two views of membership, a daemon may be the reader of some daemons and a follower of another. It
/// does not forward the reports that it receives. If it applied them, its followers would miss their changes
/// and find a gap before each of its own reports.
#[test]
fn a_reader_that_receives_reports_leaves_no_gap_for_its_followers() {
    let now = START;
    let report = |after, at| SourceReport { after, at, age: Duration::ZERO, contents: vec![1] };
    let mut reader = Feed::new(settings(), DaemonId(1), address(1));
    reader.record_read(report(90, 100), now);
    reader.receive_subscription(DaemonId(2), 100, address(2), None, now);
    reader.take_actions();
    reader.receive_report(report(100, 150), None, now);
    let is_apply =
        |action: &FeedAction| matches!(action, FeedAction::Order(FeedOrder::Apply { .. }));
    assert!(!reader.take_actions().iter().any(is_apply), "its own next read begins at 100");
    reader.record_read(report(100, 160), now);
    let sent = reader.take_actions();
    let to_follower = FeedAction::Send {
        to: address(2),
        message: FeedMessage::Report { report: report(100, 160), echo: None },
    };
    assert_eq!(sent, [to_follower]);
}

/// What a follower makes of a report that arrives one second after its subscription.
struct TrustCase {
    name: &'static str,
    echo: fn(subscribed_at: Timestamp) -> Option<SubscriptionEcho>,
    is_trusted: bool,
}

/// Guards against reports that count as new because of the age that their reader names, though they were held back on
/// their way, came from a reader that stood still, or answer a subscription of an earlier life.
#[test]
fn a_report_is_trusted_by_the_time_of_the_subscription_that_it_answers() {
    fn began(sent_at: Timestamp, call_began_after: i64) -> Option<SubscriptionEcho> {
        Some(SubscriptionEcho { sent_at, call_began_after })
    }
    let cases = [
        TrustCase { name: "new", echo: |at| began(at, 900_000), is_trusted: true },
        TrustCase { name: "held back", echo: |at| began(at, -1_500_000), is_trusted: false },
        TrustCase {
            name: "of an earlier life",
            echo: |at| began(at + Duration::from_secs(2), 0),
            is_trusted: false,
        },
        TrustCase { name: "of a build that does not tell", echo: |_| None, is_trusted: true },
    ];
    let zone = (1..=12).map(|number| (DaemonId(number), address(number))).collect();
    let members = FeedMembers { zone, region: Vec::new() };
    for TrustCase { name, echo, is_trusted } in cases {
        let mut follower = Feed::new(settings(), DaemonId(1), address(1));
        follower.review(&members, START);
        follower.tick(START);
        let subscribes = |action: &FeedAction| {
            matches!(action, FeedAction::Send { message: FeedMessage::Subscribe { .. }, .. })
        };
        assert!(follower.take_actions().iter().any(subscribes), "{name}: not a reader itself");
        let now = START + Duration::from_secs(1);
        let report = SourceReport { after: 0, at: 9, age: Duration::ZERO, contents: vec![1] };
        follower.receive_report(report, echo(START), now);
        follower.tick(now);
        let actions = follower.take_actions();
        let applies = |action: &FeedAction| matches!(action, FeedAction::Order(FeedOrder::Apply { report, .. }) if report.at == 9);
        assert!(actions.iter().any(applies), "{name}: changes count whatever their age");
        let pauses = FeedAction::Order(FeedOrder::Read(SourceReading::Paused));
        assert_eq!(actions.contains(&pauses), is_trusted, "{name}");
    }
}

/// Guards against a gateway that learns nothing while the source turns it alone away: in a zone with few daemons it
/// reads for itself.
#[test]
fn a_daemon_that_the_source_turns_away_gets_reports_of_another() {
    for daemons in [2, 4, 43] {
        for phase in 0..10 {
            let mut zone = Zone::new(daemons);
            let interval = Some(Duration::from_millis(700));
            zone.pass(Duration::from_millis(2_000 + phase * 67), interval);
            let struck = zone.reader().unwrap_or(1);
            zone.inject_fault(struck, Fault::CutFromSource);
            zone.struck_counts = true;
            zone.pass(Duration::from_secs(12), interval);
            zone.clear_fault(struck);
            zone.pass(Duration::from_secs(12), interval);
            let delay = zone.max_change_delay;
            assert!(delay <= MAX_CHANGE_DELAY, "{daemons} daemons, phase {phase}: {delay:?}");
            let calls = zone.calls;
            zone.pass(Duration::from_secs(10), None);
            // It reads for itself again, and nobody reads for it.
            let rate = (zone.calls - calls) as f64 / 10.0;
            assert!(rate <= 2.0, "{daemons} daemons: {rate} calls a second");
        }
    }
}

#[test]
fn a_daemon_that_was_frozen_catches_up_in_time() {
    let mut zone = Zone::new(43);
    let reader = zone.reader().expect("43 daemons share a reader");
    let frozen =
        zone.daemons.keys().copied().find(|number| *number != reader).expect("there are others");
    zone.inject_fault(frozen, Fault::Frozen);
    zone.pass(Duration::from_secs(3), Some(Duration::from_millis(700)));
    zone.clear_fault(frozen);
    zone.max_change_delay = Duration::ZERO;
    zone.pass(Duration::from_secs(10), Some(Duration::from_millis(700)));
    assert!(zone.max_change_delay <= MAX_CHANGE_DELAY, "{:?}", zone.max_change_delay);
}

#[test]
fn settings_out_of_bounds_are_named() {
    let wrong = FeedSettings { fewest_sharing: 1, ..FeedSettings::default() };
    let error = wrong.check().expect_err("one daemon shares with nobody");
    assert!(error.to_string().contains("feed.fewest_sharing"), "{error}");
    assert_eq!(FeedSettings::default().check(), Ok(()));
}
