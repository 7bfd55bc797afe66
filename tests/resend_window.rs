//! Tests of the limit on resent requests.

use quetzalpin::prelude::*;
use quetzalpin::retry::ResendWindow;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Guards against retry storms: every request fails once, and the resends stay within the reserve
/// plus a share of the first sends.
#[test]
fn resends_stay_within_the_share_and_the_reserve() {
    let service = ServiceName::from("s");
    let mut window = ResendWindow::open(5);
    let mut resends = 0;
    for number in 0..1_000 {
        window.earn(at(number), &service);
        resends += usize::from(window.try_spend(at(number), &service));
    }
    assert!(resends <= 5 + 200, "{resends} resends");
    assert!(resends >= 100, "{resends} resends");
}

#[test]
fn the_reserve_comes_back_after_the_window() {
    let service = ServiceName::from("s");
    let mut window = ResendWindow::open(1);
    assert!(window.try_spend(at(0), &service));
    assert!(!window.try_spend(at(9_000), &service));
    assert!(window.try_spend(at(10_500), &service));
}

#[test]
fn services_have_windows_of_their_own() {
    let mut window = ResendWindow::open(1);
    assert!(window.try_spend(at(0), &ServiceName::from("a")));
    assert!(window.try_spend(at(0), &ServiceName::from("b")));
}
