//! Property tests for code that reads bytes and numbers from other processes.
//!
//! Failing inputs are kept in `fuzz.proptest-regressions`.

mod support;

use std::time::Duration;

use filbertstage_kernel::catalogue::{Identity, Profile};
use filbertstage_kernel::event::Splitter;
use filbertstage_kernel::place::value::Origin;
use filbertstage_kernel::place::{Load, LoadId, Pool, Request, Speed};
use filbertstage_kernel::prelude::*;
use proptest::prelude::*;
use support::{NOW, entries};

/// Typical counts, arbitrary ones, and both ends of the range.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![0..2_000_000_u64, any::<u64>(), Just(u64::MAX), Just(0)]
}

fn request() -> impl Strategy<Value = Request> {
    let times = (0..100_000_u64, 0..1_000_000_u64, 0..10_000_u64);
    (number(), number(), times, any::<bool>()).prop_map(
        |(prompt_tokens, answer_tokens, times, answer_started)| Request {
            prompt_tokens,
            answer_tokens,
            due: NOW + Duration::from_millis(times.0),
            deadline: NOW + Duration::from_millis(times.1),
            pause: Duration::from_millis(times.2),
            priority: 1,
            answer_started,
            excluded: Vec::new(),
            origin: Origin::default(),
        },
    )
}

/// Valid profile figures, and invalid ones that an operator might publish by mistake.
fn figure() -> impl Strategy<Value = f64> {
    prop_oneof![
        0.0..1_000.0_f64,
        any::<f64>(),
        Just(0.0),
        Just(-1.0),
        Just(f64::MAX)
    ]
}

fn profile() -> impl Strategy<Value = Profile> {
    let counts = (any::<u32>(), number(), any::<u32>(), any::<u32>());
    let figures = (figure(), figure(), figure(), figure(), figure(), figure());
    (counts, figures).prop_map(|(counts, figures)| Profile {
        slots: counts.0 % 64,
        memory_tokens: counts.1,
        stride: counts.2,
        step_ms: figures.0,
        sequence_ms: figures.1,
        context_ms: figures.2,
        prefill_tokens_per_s: figures.3,
        pairs_ms: figures.4,
        chunk: counts.3,
        hop_ms: figures.5,
        delays: Vec::new(),
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Every submitted request is decided or still waiting, whatever values clients and operators
    /// send. A panic or a lost request would affect all other requests in the pool.
    #[test]
    fn any_profile_and_request_mix_loses_no_request(
        profile in profile(),
        requests in prop::collection::vec(request(), 1..12),
        elapsed_ms in 0..20_000_u64,
    ) {
        let mut pool = Pool::new(Speed::new(profile), Domain::from("cannock"), 1);
        pool.set_engines(entries(6).iter());
        let count = requests.len();
        for request in requests {
            pool.submit(request, NOW);
        }
        let first = pool.assign(NOW).len();
        prop_assert_eq!(first + pool.waiting(), count);
        let later = pool.assign(NOW + Duration::from_millis(elapsed_ms)).len();
        prop_assert_eq!(first + later + pool.waiting(), count);
    }

    /// A request is decided or still waiting, whatever loads another host reports.
    #[test]
    fn any_load_of_another_host_loses_no_request(
        loads in prop::collection::vec((any::<u64>(), any::<[u32; 3]>(), any::<bool>()), 1..40),
        request in request(),
    ) {
        let mut pool = Pool::new(Speed::new(support::profile()), Domain::from("cannock"), 1);
        let entries = entries(4);
        pool.set_engines(entries.iter());
        for (index, (tokens, millis, decodes)) in (0_u32..).zip(loads) {
            let millis = millis.map(|millis| Duration::from_millis(millis.into()));
            let load = Load { tokens, prefill_time: millis[0], prefilled_by: NOW + millis[1], prefilled: false,
                ends_by: NOW + millis[2], decodes, pause: millis[0], snapshot: 0 };
            let engine: Identity = entries[index as usize % entries.len()].identity();
            pool.put_remote(LoadId { holder: 2, sequence: index }, engine, load, NOW);
        }
        pool.submit(request, NOW);
        prop_assert_eq!(pool.assign(NOW).len() + pool.waiting(), 1);
    }

    /// A stream yields the same complete events however it is split into chunks.
    #[test]
    fn chunk_boundaries_do_not_change_the_parsed_events(
        bytes in prop::collection::vec(
            prop_oneof![Just(b'\n'), Just(b'\r'), Just(b'i'), Just(b'd'), Just(b':'), any::<u8>()],
            0..300,
        ),
        cuts in prop::collection::vec(1..40_usize, 1..20),
    ) {
        let mut whole = Splitter::resume_after(None);
        let expected = whole.feed(&bytes);
        let mut pieces = Splitter::resume_after(None);
        let mut got = Vec::new();
        let mut rest = &bytes[..];
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let cut = cuts.next().map_or(1, |cut| (*cut).min(rest.len()));
            let (piece, left) = rest.split_at(cut);
            got.extend(pieces.feed(piece).expect("small"));
            rest = left;
        }
        prop_assert_eq!(Ok(got), expected);
        prop_assert_eq!(pieces.last_id(), whole.last_id());
        prop_assert_eq!(pieces.events(), whole.events());
    }
}
