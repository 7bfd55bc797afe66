//! Splitting a stream into whole events: no byte is lost, none comes early, and endless bytes
//! without an event end are noticed.

use std::fmt::Write;

use bytes::Bytes;
use proptest::prelude::*;
use quetzalpin::net::{EventBuffer, OversizedEvent};

fn push(buffer: &mut EventBuffer, text: &str) -> Option<String> {
    let events = buffer.push(Bytes::copy_from_slice(text.as_bytes()));
    let events = events.expect("events of usual size")?;
    Some(String::from_utf8(events.to_vec()).expect("text"))
}

#[test]
fn a_part_of_an_event_is_held_back_until_the_event_is_complete() {
    let mut buffer = EventBuffer::open();
    assert_eq!(
        push(&mut buffer, "id: 1\ndata: a\n\nid: 2\nda").as_deref(),
        Some("id: 1\ndata: a\n\n")
    );
    assert_eq!(buffer.last_id(), Some(1));
    assert!(buffer.is_inside_event());
    assert_eq!(push(&mut buffer, "ta: b\n"), None);
    assert_eq!(
        push(&mut buffer, "\n").as_deref(),
        Some("id: 2\ndata: b\n\n")
    );
    assert_eq!(buffer.last_id(), Some(2));
    assert!(!buffer.is_inside_event());
}

#[test]
fn an_event_may_end_with_carriage_returns() {
    let mut buffer = EventBuffer::open();
    assert_eq!(push(&mut buffer, "id: 7\r\ndata: a\r\n\r"), None);
    assert_eq!(
        push(&mut buffer, "\n").as_deref(),
        Some("id: 7\r\ndata: a\r\n\r\n")
    );
    assert_eq!(buffer.last_id(), Some(7));
}

#[test]
fn an_event_without_an_id_keeps_the_last_one() {
    let mut buffer = EventBuffer::open();
    push(&mut buffer, "id: 3\ndata: a\n\n");
    push(&mut buffer, "data: b\n\n");
    assert_eq!((buffer.first_id(), buffer.last_id()), (Some(3), Some(3)));
}

#[test]
fn bytes_without_an_event_end_are_refused() {
    let mut buffer = EventBuffer::open();
    let chunk = Bytes::from(vec![b'x'; 16 * 1024]);
    let pushed: Vec<_> = (0..8).map(|_| buffer.push(chunk.clone())).collect();
    assert_eq!(pushed.last(), Some(&Err(OversizedEvent)));
}

proptest! {
    /// However a stream is split into chunks, the events are the same and whole.
    #[test]
    fn chunk_borders_do_not_matter(
        lengths in prop::collection::vec(0_usize..12, 1..12),
        cuts in prop::collection::vec(1_usize..9, 1..60),
    ) {
        let mut stream = String::new();
        for (index, length) in lengths.iter().enumerate() {
            let data = "y".repeat(*length);
            let _ = write!(stream, "id: {}\ndata: {data}\n\n", index + 1);
        }
        let mut buffer = EventBuffer::open();
        let mut received = String::new();
        let mut rest = stream.as_str();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, after) = rest.split_at((*cut).min(rest.len()));
            rest = after;
            if let Some(events) = push(&mut buffer, chunk) {
                prop_assert!(events.ends_with("\n\n"));
                received.push_str(&events);
            }
        }
        prop_assert_eq!(received, stream);
        prop_assert_eq!(buffer.last_id(), Some(lengths.len() as u64));
        prop_assert!(!buffer.is_inside_event());
    }
}
