//! The budget of memory for messages, and who is refused first.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use proptest::prelude::*;
use quetzalpin::net::{
    BodyError, BufferBudget, BufferPurpose, BufferShortage, SMALL_MESSAGE_BYTES, read_leased,
};
use rstest::rstest;

/// Size of the budget in bytes.
const LIMIT: usize = 4_000_000;

/// Largest body in bytes that is read.
const MAX_BODY: usize = 1_000_000;

/// Time in milliseconds for a body.
const BODY_MS: u64 = 1_000;

/// Guards against messages that are refused although memory is left for them, and against those that
/// take what others need.
#[rstest]
#[case::a_response_of_the_platform(BufferPurpose::Control, 1_000_000, 3_000_000)]
#[case::a_small_request(BufferPurpose::Call, SMALL_MESSAGE_BYTES, 2_900_000)]
#[case::a_large_request(BufferPurpose::Call, 1_000_000, 1_000_000)]
#[case::a_small_report(BufferPurpose::Report, SMALL_MESSAGE_BYTES, 2_900_000)]
#[case::a_large_report(BufferPurpose::Report, 64_000, 900_000)]
fn a_message_is_held_while_others_leave_it_room(
    #[case] purpose: BufferPurpose,
    #[case] bytes: usize,
    #[case] others: usize,
) {
    let budget = BufferBudget::open(LIMIT);
    let mut held = budget.lease(BufferPurpose::Control);
    held.grow_to(others).expect("room");
    let mut lease = budget.lease(purpose);
    lease.grow_to(bytes).expect("room");
    assert_eq!(budget.used_bytes(), others + bytes);
}

/// Guards against large requests and reports that keep small ones, or the platform's responses, out.
#[rstest]
#[case::a_response_of_the_platform(BufferPurpose::Control, 1_000_000, 3_000_001)]
#[case::a_small_request(BufferPurpose::Call, 1_000, 2_999_001)]
#[case::a_large_request(BufferPurpose::Call, 1_000_000, 1_000_001)]
#[case::a_small_report(BufferPurpose::Report, 1_000, 2_999_001)]
#[case::a_large_report(BufferPurpose::Report, 64_000, 936_001)]
fn a_message_is_refused_once_others_need_the_room(
    #[case] purpose: BufferPurpose,
    #[case] bytes: usize,
    #[case] others: usize,
) {
    let budget = BufferBudget::open(LIMIT);
    let mut held = budget.lease(BufferPurpose::Control);
    held.grow_to(others).expect("room");
    let mut lease = budget.lease(purpose);
    let shortage = BufferShortage {
        bytes,
        used_bytes: others,
        limit_bytes: LIMIT,
    };
    assert_eq!(lease.grow_to(bytes), Err(shortage));
    assert_eq!(budget.used_bytes(), others);
}

/// Guards against a body that is read although there is no room for the length that it states.
#[test]
fn a_body_that_states_its_length_is_refused_before_it_is_read() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let budget = BufferBudget::open(LIMIT);
        let mut held = budget.lease(BufferPurpose::Control);
        held.grow_to(LIMIT / 2).expect("room");
        let mut lease = budget.lease(BufferPurpose::Call);
        let body = Full::new(Bytes::from(vec![0; MAX_BODY]));
        let read = read_leased(body, MAX_BODY, BODY_MS, &mut lease).await;
        assert!(matches!(read, Err(BodyError::NoMemory(_))), "{read:?}");
        assert_eq!(budget.used_bytes(), LIMIT / 2);
    });
}

/// Guards against a body without a stated length that takes more memory than is counted for it.
#[test]
fn a_body_without_a_length_is_counted_as_it_grows() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let budget = BufferBudget::open(LIMIT);
        let mut lease = budget.lease(BufferPurpose::Call);
        let chunks = (0..100).map(|_| Ok::<_, BodyError>(Frame::data(Bytes::from(vec![0; 1_000]))));
        let body = StreamBody::new(futures_util::stream::iter(chunks)).boxed();
        let read = read_leased(body, MAX_BODY, BODY_MS, &mut lease).await;
        assert_eq!(read.expect("a body").len(), 100_000);
        assert!((100_000..=200_000).contains(&budget.used_bytes()));
        drop(lease);
        assert_eq!(budget.used_bytes(), 0);
    });
}

proptest! {
    /// Guards against a budget that loses or invents bytes.
    #[test]
    fn the_sum_of_all_leases_is_in_use(steps in prop::collection::vec((0..8_usize, 0..600_000_usize), 1..60)) {
        let budget = BufferBudget::open(LIMIT);
        let mut leases: Vec<_> = (0..8).map(|_| (budget.lease(BufferPurpose::Call), 0)).collect();
        for (index, bytes) in steps {
            if bytes % 5 == 0 {
                leases[index] = (budget.lease(BufferPurpose::Call), 0);
            } else if leases[index].0.grow_to(bytes).is_ok() {
                leases[index].1 = bytes.max(leases[index].1);
            }
            let held: usize = leases.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(budget.used_bytes(), held);
            prop_assert!(held <= LIMIT);
        }
    }
}

/// Guards against requests in flight at upstreams that take memory which nothing counts (review/7).
#[test]
fn a_request_in_flight_takes_memory_beside_its_body_until_it_ends() {
    let budget = BufferBudget::open(LIMIT);
    let mut leases = Vec::new();
    let refused = loop {
        let mut lease = budget.lease(BufferPurpose::Call);
        lease.grow_to(1_000).expect("room");
        match lease.begin_exchange(500) {
            Ok(()) => leases.push(lease),
            Err(shortage) => break shortage,
        }
    };
    let each = budget.used_bytes() / leases.len();
    assert!(each > 40 * 1_024, "{each} bytes each");
    assert!(refused.used_bytes + each > LIMIT / 100 * 75, "{refused:?}");
    drop(leases);
    assert_eq!(budget.used_bytes(), 0);
}
