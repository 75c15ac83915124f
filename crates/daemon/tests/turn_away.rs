//! Retry delays for callers that a cut-off daemon refuses.

use dahlia_daemon::turn_away::TurnAwaySettings;
use dahlia_node::CutOff;
use dahlia_types::{Duration, Timestamp};

struct Case {
    name: &'static str,
    is_alone: bool,
    /// Time since the cut began.
    age_ms: u64,
    draw: f64,
    expected_ms: u64,
}

#[test]
fn callers_retry_when_other_daemons_may_serve_them() {
    let cases = [
        Case {
            name: "zone cut off, at the start",
            is_alone: false,
            age_ms: 0,
            draw: 0.0,
            expected_ms: 2_000,
        },
        Case {
            name: "zone cut off, spread",
            is_alone: false,
            age_ms: 0,
            draw: 1.0,
            expected_ms: 2_300,
        },
        Case {
            name: "zone cut off, later",
            is_alone: false,
            age_ms: 1_500,
            draw: 0.0,
            expected_ms: 500,
        },
        Case {
            name: "zone cut off for longer than callers need to move",
            is_alone: false,
            age_ms: 9_000,
            draw: 0.5,
            expected_ms: 400,
        },
        Case {
            name: "only this daemon cut off",
            is_alone: true,
            age_ms: 0,
            draw: 1.0,
            expected_ms: 50,
        },
    ];
    let settings = TurnAwaySettings::default();
    for case in cases {
        let since = Timestamp(5_000_000);
        let cut = CutOff { since, is_alone: case.is_alone };
        let now = since + Duration::from_millis(case.age_ms);
        let wait = settings.retry_after(cut, case.draw, now);
        assert_eq!(wait, Duration::from_millis(case.expected_ms), "{}", case.name);
    }
}

#[test]
fn settings_out_of_range_are_named() {
    let wrong = TurnAwaySettings { shortest_ms: 0, ..TurnAwaySettings::default() };
    let error = wrong.check().expect_err("no time at all").to_string();
    assert!(error.contains("turn_away.shortest_ms"), "{error}");
}
