//! Delays before reconnecting to a peer that was down.

use std::time::Duration;

use dahlia_daemon::reconnect::ReconnectBackoff;

/// A machine that was without power for this long must be contacted soon after it is back.
const OUTAGE: Duration = Duration::from_millis(1_200);
const MAX_LATENESS: Duration = Duration::from_millis(200);

#[test]
fn a_peer_that_was_down_for_a_second_is_contacted_soon_after() {
    let mut backoff = ReconnectBackoff::default();
    let mut waited = Duration::ZERO;
    while waited < OUTAGE {
        waited += backoff.next_delay();
    }
    assert!(waited - OUTAGE <= MAX_LATENESS, "contacted {:?} late", waited - OUTAGE);
    assert!(backoff.next_delay() <= MAX_LATENESS);
}

#[test]
fn a_success_resets_the_delay() {
    let mut backoff = ReconnectBackoff::default();
    let first = backoff.next_delay();
    assert!(backoff.next_delay() > first);
    backoff.reset();
    assert_eq!(backoff.next_delay(), first);
}
