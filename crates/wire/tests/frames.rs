//! The codec on generated and malformed input.

use arbtest::arbtest;
use model::Name;
use wire::{Beat, Error, Frame, Load, MAX_FRAME_BYTES, Serve, decode, encode};

/// Seeds of the generated inputs; the low half is the input's size.
const SEEDS: std::ops::Range<u64> = 0..500;

fn frames() -> Vec<Frame> {
    let load = Load {
        data_centre: "east".into(),
        epoch: 7,
        ..Load::default()
    };
    vec![
        Frame::Beat(Beat {
            seq: 1,
            loads: vec![load],
            ..Beat::default()
        }),
        Frame::Serve(Serve {
            id: 9,
            data_centre: "east".into(),
            team: "t".into(),
            queue: "q".into(),
            service: "s".into(),
            once: true,
            budget_ms: 5,
            body: bytes::Bytes::from_static(b"body"),
        }),
        Frame::Config(Box::default()),
    ]
}

#[test]
fn frames_come_back_equal() {
    for frame in frames() {
        let from = Name::from("e0");

        let bytes = encode(&from, &frame).expect("small frame");

        assert_eq!(decode(&bytes), Ok((from, frame)));
    }
}

#[test]
fn random_bytes_give_an_error_or_a_frame() {
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
fn damaged_frames_give_an_error_or_a_frame() {
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
fn trailing_and_large_input_is_refused() {
    let mut bytes = encode(&Name::from("e0"), &Frame::PullConfig).expect("small frame");
    bytes.push(0);
    assert_eq!(decode(&bytes), Err(Error::Trailing(1)));

    let large = vec![0; MAX_FRAME_BYTES + 1];
    assert_eq!(decode(&large), Err(Error::TooLarge(large.len())));
}
