//! Time limits of a process that gets too little processor time.

use std::cell::Cell;
use std::future::{pending, poll_fn};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use quetzalpin::net::scheduled_timeout;

/// Keeps the only thread busy, as a process without processor time is.
fn occupy(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Guards against a busy process that takes its own lack of time for a silent peer: the answer is
/// there after three rounds of other work, each as long as nearly the whole limit.
#[compio::test]
async fn time_without_a_processor_does_not_count() {
    let rounds = Rc::new(Cell::new(0));
    let counted = Rc::clone(&rounds);
    let busy = compio::runtime::spawn(async move {
        while counted.get() < 3 {
            occupy(350);
            counted.set(counted.get() + 1);
            compio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    let answer = poll_fn(|_| match rounds.get() {
        3 => Poll::Ready("answer"),
        _ => Poll::Pending,
    });
    let outcome = scheduled_timeout(400, answer).await;
    busy.await.expect("the other work ends");
    assert_eq!(outcome, Some("answer"));
}

/// Guards against a limit that never ends: the peer is silent, and this process has time.
#[compio::test]
async fn a_silent_peer_is_given_up() {
    assert_eq!(scheduled_timeout(40, pending::<()>()).await, None);
}

/// Guards against a limit that a process without any time extends for ever. One look takes longer than
/// four times the limit, so that the first part, with at most three looks, is the last; all four parts
/// have at least one look each.
#[compio::test]
async fn the_limit_is_extended_at_most_fourfold() {
    let looks = Cell::new(0);
    let occupied = poll_fn(|_| {
        looks.set(looks.get() + 1);
        occupy(200);
        Poll::<()>::Pending
    });
    assert_eq!(scheduled_timeout(40, occupied).await, None);
    assert!(looks.get() <= 3, "{} looks of 200 ms", looks.get());
}
