//! Decodes random bytes as datagrams between hosts.

use filbertstage_wire::datagram;
use filbertstage_wire::placement::Placements;
use proptest::prelude::*;

const KEY: &[u8] = b"a key of hosts";

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Bytes without a valid tag never decode as a frame.
    #[test]
    fn random_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        prop_assert!(datagram::decode::<Placements>(KEY, &bytes).is_err());
    }

    /// Random bytes that are signed with the right key decode or are rejected without a panic.
    #[test]
    fn signed_random_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let signed = datagram::encode(KEY, &bytes).expect("at most 300 bytes fit into a datagram");
        // Both results are valid, but the number of decoded items is bounded by the input.
        if let Ok(frame) = datagram::decode::<Placements>(KEY, &signed) {
            prop_assert!(frame.items.len() <= bytes.len());
        }
    }
}
