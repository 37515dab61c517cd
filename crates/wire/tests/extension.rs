//! Frames of several builds between hosts that run side by side.

use filbertstage_wire::datagram;
use filbertstage_wire::extension::{self, Cold, Evacuations, Extension};
use filbertstage_wire::placement::{Item, Placements, Scope};
use serde::Serialize;

const KEY: &[u8] = b"key";

fn frame() -> Placements {
    Placements {
        host: "edge-a-1".to_owned(),
        holder: 7,
        version: 12,
        scope: Scope::Updates,
        snapshot: 3,
        items: vec![Item::Leaving(99), Item::Request(5)],
    }
}

fn extensions() -> Vec<Extension> {
    vec![
        Extension::Evacuations(Evacuations {
            era: Some(2),
            position: 40,
            domains: vec!["a".to_owned()],
        }),
        Extension::Cold(vec![Cold {
            endpoint: 9,
            remaining_ms: 2_500,
        }]),
        Extension::Reaches(true),
        Extension::Borrows(true),
    ]
}

/// Guards against a build of commit 1b4997e that rejects the frames of this one: it decodes a frame
/// and ignores what follows it.
#[test]
fn frame_with_extensions_is_a_frame_to_older_builds() {
    let bytes = datagram::encode_with(KEY, &frame(), &extension::encode(&extensions())).unwrap();
    assert_eq!(datagram::decode::<Placements>(KEY, &bytes), Ok(frame()));
}

/// Guards against a change of the format that older builds use. The bytes were written by commit
/// 1b4997e.
#[test]
fn recorded_frame_of_an_older_build_is_read() {
    let bytes = hex::decode(include_str!("frame-1b4997e.hex").trim()).unwrap();
    let (read, rest) = datagram::decode_with::<Placements>(KEY, &bytes).unwrap();
    assert_eq!(read, frame());
    assert_eq!(extension::decode(rest), []);
    assert_eq!(datagram::encode(KEY, &frame()).unwrap(), bytes);
}

#[test]
fn extensions_are_read_as_they_were_sent() {
    let bytes = datagram::encode_with(KEY, &frame(), &extension::encode(&extensions())).unwrap();
    let (read, rest) = datagram::decode_with::<Placements>(KEY, &bytes).unwrap();
    assert_eq!(read, frame());
    assert_eq!(extension::decode(rest), extensions());
}

#[derive(Serialize)]
struct Section {
    kind: u16,
    body: Vec<u8>,
}

/// Guards against a later build whose kinds of extensions make this one drop the others.
#[test]
fn unknown_and_malformed_extensions_are_skipped() {
    let section = |kind, body: &[u8]| Section {
        kind,
        body: body.to_vec(),
    };
    let sections = vec![
        section(60_000, &[1, 2, 3]),
        section(1, &[255]),
        section(3, &[1]),
    ];
    let bytes = postcard::to_stdvec(&sections).unwrap();
    assert_eq!(extension::decode(&bytes), [Extension::Reaches(true)]);
    assert_eq!(extension::decode(&bytes[..4]), []);
    assert_eq!(extension::decode(&[]), []);
}
