//! Random bytes in place of frames between hosts.

use filbertstage_wire::datagram;
use filbertstage_wire::placement::Placements;
use proptest::prelude::*;

const KEY: &[u8] = b"a key of hosts";

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Nothing but what a host sealed is ever taken for a frame.
    #[test]
    fn random_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        prop_assert!(datagram::decode::<Placements>(KEY, &bytes).is_err());
    }

    /// Garbage that was sealed with the right key decodes or is refused, and does not panic.
    #[test]
    fn signed_random_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let signed = datagram::encode(KEY, &bytes).expect("small enough");
        // Either is right; what is read is bounded by the bytes that came.
        if let Ok(frame) = datagram::decode::<Placements>(KEY, &signed) {
            prop_assert!(frame.items.len() <= bytes.len());
        }
    }
}
