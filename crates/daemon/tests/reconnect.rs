//! How soon a peer that was away is dialled again.

use std::time::Duration;

use dahlia_daemon::reconnect::ReconnectBackoff;

/// A machine without power for so long must be dialled soon after it is back.
const OUTAGE: Duration = Duration::from_millis(1_200);
const MOST_LATE: Duration = Duration::from_millis(200);

#[test]
fn a_peer_that_was_away_for_a_second_is_dialled_soon_after() {
    let mut pauses = ReconnectBackoff::default();
    let mut waited = Duration::ZERO;
    while waited < OUTAGE {
        waited += pauses.next_delay();
    }
    assert!(waited - OUTAGE <= MOST_LATE, "dialled {:?} late", waited - OUTAGE);
    assert!(pauses.next_delay() <= MOST_LATE);
}

#[test]
fn pauses_are_short_again_after_a_success() {
    let mut pauses = ReconnectBackoff::default();
    let first = pauses.next_delay();
    assert!(pauses.next_delay() > first);
    pauses.reset();
    assert_eq!(pauses.next_delay(), first);
}
