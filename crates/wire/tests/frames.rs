//! Codec tests: round trips, random and corrupted input, and size limits.
//!
//! Received bytes are untrusted, so `decode` must return an error for malformed
//! input instead of panicking.

use arbtest::arbtest;
use model::Name;
use wire::{
    DataCentreLoad, Error, Frame, Heartbeat, MAX_FRAME_BYTES, ServeRequest, decode, encode,
};

/// Seeds of the generated inputs. Each is shifted into the upper 32 bits of an
/// `arbtest` seed, whose lower 32 bits set the size of the input.
const SEEDS: std::ops::Range<u64> = 0..500;

fn frames() -> Vec<Frame> {
    let load = DataCentreLoad {
        data_centre: "east".into(),
        epoch: 7,
        ..DataCentreLoad::default()
    };
    vec![
        Frame::Beat(Heartbeat {
            seq: 1,
            loads: vec![load],
            ..Heartbeat::default()
        }),
        Frame::Serve(ServeRequest {
            id: 9,
            data_centre: "east".into(),
            team: "t".into(),
            queue: "q".into(),
            service: "s".into(),
            at_most_once: true,
            budget_ms: 5,
            body: bytes::Bytes::from_static(b"body"),
        }),
        Frame::Config(Box::default()),
    ]
}

#[test]
fn frames_round_trip() {
    for frame in frames() {
        let from = Name::from("e0");

        let bytes = encode(&from, &frame).expect("small frame");

        assert_eq!(decode(&bytes), Ok((from, frame)));
    }
}

#[test]
fn decoding_random_bytes_does_not_panic() {
    for seed in SEEDS {
        arbtest(|u| {
            let bytes: Vec<u8> = u.arbitrary()?;
            drop(decode(&bytes));
            Ok(())
        })
        .seed(seed << 32 | 0x800);
    }
}

#[test]
fn decoding_corrupted_frames_does_not_panic() {
    for seed in SEEDS {
        arbtest(|u| {
            let frame = u.choose(&frames())?.clone();
            let mut bytes = encode(&Name::from("e0"), &frame).expect("small frame");
            for _ in 0..u.int_in_range(1..=4)? {
                let at = u.choose_index(bytes.len())?;
                bytes[at] = u.arbitrary()?;
            }
            bytes.truncate(u.int_in_range(1..=bytes.len())?);
            drop(decode(&bytes));
            Ok(())
        })
        .seed(seed << 32 | 0x80);
    }
}

#[test]
fn trailing_and_oversized_input_is_rejected() {
    let mut bytes = encode(&Name::from("e0"), &Frame::PullConfig).expect("small frame");
    bytes.push(0);
    assert_eq!(decode(&bytes), Err(Error::Trailing(1)));

    let large = vec![0; MAX_FRAME_BYTES + 1];
    assert_eq!(decode(&large), Err(Error::TooLarge(large.len())));
}
