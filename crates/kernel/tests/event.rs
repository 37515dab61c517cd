//! Tests that interrupted event streams resume without a gap or a duplicate.

use filbertstage_kernel::event::{Defect, Splitter};
use rstest::rstest;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn incomplete_events_are_buffered() {
    let mut splitter = Splitter::resume_after(None);
    assert_eq!(splitter.feed(&STREAM[..20]).as_deref(), Ok(&STREAM[..15]));
    assert!(splitter.has_partial());
    assert_eq!(splitter.last_id(), Some("1"));
    assert_eq!(splitter.feed(&STREAM[20..]).as_deref(), Ok(&STREAM[15..]));
    assert!(!splitter.has_partial());
    assert_eq!((splitter.last_id(), splitter.events()), (Some("3"), 3));
}

/// Interrupts the stream at every byte and resumes it after the last complete event.
#[test]
fn a_stream_interrupted_at_any_byte_resumes_without_gap_or_duplicate() {
    for cut in 0..=STREAM.len() {
        let mut splitter = Splitter::resume_after(None);
        let mut delivered = splitter.feed(&STREAM[..cut]).expect("short events");
        splitter.resume();
        let next: usize = splitter
            .last_id()
            .map_or(0, |id| id.parse().expect("a number"));
        let rest = splitter.feed(&STREAM[next * 15..]).expect("short events");
        delivered.extend(rest);
        assert_eq!(delivered, STREAM, "cut at {cut}");
    }
}

#[rstest]
#[case::carriage_returns(b"id: 7\r\ndata: x\r\n\r\n", Some("7"), 1)]
#[case::version_line_first(b"x-version: 2\nid: 8\ndata: x\n\n", Some("8"), 1)]
#[case::no_id(b"data: x\n\n", None, 1)]
#[case::not_an_event(b"data: x\n", None, 0)]
fn event_ids_are_parsed(#[case] bytes: &[u8], #[case] id: Option<&str>, #[case] events: u64) {
    let mut splitter = Splitter::resume_after(None);
    splitter.feed(bytes).expect("short events");
    assert_eq!((splitter.last_id(), splitter.events()), (id, events));
}

#[test]
fn an_oversized_event_is_rejected() {
    let mut splitter = Splitter::resume_after(None);
    let chunk = vec![b'x'; 1 << 19];
    assert!(splitter.feed(&chunk).is_ok());
    assert!(splitter.feed(&chunk).is_ok());
    assert_eq!(splitter.feed(&chunk), Err(Defect::Oversized));
}

/// Guards against events of a resumed stream that come twice, and against text that is no part of it
/// (ORDER).
#[rstest]
#[case::next(b"id: 3\ndata: c\n\n", true)]
#[case::after_a_gap(b"id: 5\ndata: e\n\n", true)]
#[case::comment_first(b": here\n\nid: 3\ndata: c\n\n", true)]
#[case::same_event(b"id: 2\ndata: b\n\n", false)]
#[case::from_the_beginning(STREAM, false)]
#[case::no_id(b"event: error\ndata: it failed\n\n", false)]
#[case::text(b"{\"error\":\"it failed\"}\n\n", false)]
#[case::head(
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    false
)]
fn a_resumed_stream_goes_on_after_the_last_event(#[case] bytes: &[u8], #[case] follows: bool) {
    let mut splitter = Splitter::resume_after(None);
    splitter.feed(&STREAM[..32]).expect("short events");
    splitter.resume();
    let expected = if follows {
        Ok(bytes.to_vec())
    } else {
        Err(Defect::Misplaced)
    };
    assert_eq!(splitter.feed(bytes), expected);
}
