//! Random input for what reads bytes and numbers from outside; a failed input is kept beside it.

mod support;

use std::time::Duration;

use filbertstage_kernel::catalogue::{Identity, Profile};
use filbertstage_kernel::event::Splitter;
use filbertstage_kernel::place::{Load, LoadId, Pool, Request, Speed};
use filbertstage_kernel::prelude::*;
use proptest::prelude::*;
use support::{NOW, entries};

/// Numbers as they come, with the ends of their range.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![0..2_000_000_u64, any::<u64>(), Just(u64::MAX), Just(0)]
}

fn ask() -> impl Strategy<Value = Request> {
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
        },
    )
}

/// Speeds that an operator might publish by mistake.
fn speed() -> impl Strategy<Value = f64> {
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
    let speeds = (speed(), speed(), speed(), speed(), speed(), speed());
    (counts, speeds).prop_map(|(counts, speeds)| Profile {
        slots: counts.0 % 64,
        memory_tokens: counts.1,
        stride: counts.2,
        step_ms: speeds.0,
        sequence_ms: speeds.1,
        context_ms: speeds.2,
        prefill_tokens_per_s: speeds.3,
        pairs_ms: speeds.4,
        chunk: counts.3,
        hop_ms: speeds.5,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// What clients and operators name cannot break a pool for the others that wait there.
    #[test]
    fn no_prompt_and_no_speed_breaks_a_pool(
        profile in profile(),
        asks in prop::collection::vec(ask(), 1..12),
        pass in 0..20_000_u64,
    ) {
        let mut pool = Pool::new(Speed::new(profile), Domain::from("cannock"), 1);
        pool.set_engines(entries(6).iter());
        let count = asks.len();
        for ask in asks {
            pool.submit(ask, NOW);
        }
        let first = pool.assign(NOW).len();
        prop_assert_eq!(first + pool.waiting(), count);
        let later = pool.assign(NOW + Duration::from_millis(pass)).len();
        prop_assert_eq!(first + later + pool.waiting(), count);
    }

    /// What another host tells cannot break a pool.
    #[test]
    fn no_load_of_another_host_breaks_a_pool(
        loads in prop::collection::vec((any::<u64>(), any::<[u32; 3]>(), any::<bool>()), 1..40),
        ask in ask(),
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
        pool.submit(ask, NOW);
        prop_assert_eq!(pool.assign(NOW).len() + pool.waiting(), 1);
    }

    /// However a stream is cut into pieces, the same whole events come out.
    #[test]
    fn events_do_not_hang_on_how_bytes_arrive(
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
        prop_assert_eq!(Some(got), expected);
        prop_assert_eq!(pieces.last_id(), whole.last_id());
        prop_assert_eq!(pieces.events(), whole.events());
    }
}
