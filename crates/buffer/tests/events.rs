//! Events of a stream that are read into accounted memory.

use filbertstage_buffer::events::{Error, Reader};
use filbertstage_buffer::{Buffers, Hold};
use rstest::rstest;

/// Memory of the account, in bytes.
const LIMIT: usize = 400_000;

/// Returns the events from `first` to `last`, each with about `size` bytes of data.
fn events(first: u64, last: u64, size: usize) -> Vec<u8> {
    let events = (first..=last).map(|id| format!("id: {id}\ndata: {:.>size$}\n\n", ""));
    events.collect::<String>().into_bytes()
}

/// Returns the identifiers of events.
fn ids(bytes: &[u8]) -> Vec<u64> {
    let text = std::str::from_utf8(bytes).expect("text");
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a number")).collect()
}

/// Takes all memory that is left.
fn fill(buffers: &Buffers) -> Vec<Hold> {
    // Larger holds leave a part of the memory to small ones.
    const SMALL: u64 = 32_000;
    let mut holds = Vec::new();
    while buffers.held() < buffers.limit() {
        let bytes = SMALL.min(buffers.limit() - buffers.held());
        let mut hold = buffers.open();
        assert!(hold.try_take(usize::try_from(bytes).expect("a small number")));
        holds.push(hold);
    }
    holds
}

/// Guards against a stream that goes on after events which were dropped for want of memory, and ends as
/// a whole one: for each point at which there is no room, in one read and in many.
#[rstest]
fn events_without_room_are_read_again_after_the_resumption(
    #[values(1, 600, 6_000)] event_bytes: usize,
    #[values(700, 5_000, 16_000, 90_000)] read_bytes: usize,
) {
    const EVENTS: u64 = 15;
    let stream = events(1, EVENTS, event_bytes);
    let reads = stream.len().div_ceil(read_bytes);
    for full_at in 0..reads {
        let buffers = Buffers::new(LIMIT as u64);
        let mut reader = Reader::resume_after(None, &buffers);
        let mut delivered = Vec::new();
        let mut is_full = false;
        for (index, bytes) in stream.chunks(read_bytes).enumerate() {
            let _others = (index == full_at).then(|| fill(&buffers));
            match reader.feed(bytes) {
                Ok(events) => delivered.extend_from_slice(&events),
                Err(error) => {
                    assert!(matches!(error, Error::Full), "{error}");
                    is_full = true;
                    break;
                }
            }
        }
        if is_full {
            // Another engine goes on after the last event that is known.
            reader.resume();
            let last = reader
                .last_id()
                .map_or(0, |id| id.parse().expect("a number"));
            let rest = events(last + 1, EVENTS, event_bytes);
            for bytes in rest.chunks(read_bytes) {
                delivered.extend_from_slice(&reader.feed(bytes).expect("room"));
            }
        }
        let expected: Vec<u64> = (1..=EVENTS).collect();
        assert_eq!(ids(&delivered), expected, "no room at read {full_at}");
        assert_eq!(reader.events(), EVENTS);
    }
}

/// All memory is given back once the events are delivered.
#[test]
fn events_hold_their_memory_until_they_are_dropped() {
    let buffers = Buffers::new(LIMIT as u64);
    let mut reader = Reader::resume_after(None, &buffers);
    let stream = events(1, 3, 6_000);
    let (first, rest) = stream.split_at(10_000);
    let delivered = reader.feed(first).expect("room");
    assert_eq!(ids(&delivered), [1]);
    assert!(buffers.held() >= 6_000, "{} bytes", buffers.held());
    drop(delivered);
    drop(reader.feed(rest).expect("room"));
    assert!(!reader.has_partial());
    drop(reader);
    assert_eq!(buffers.held(), 0);
}
