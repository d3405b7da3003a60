//! The encoding of loads that reports do not name.

use gateway::{
    load::{Load, buckets::Buckets},
    outlier::OutcomeCounts,
    peers::{
        Frame, LoadSlice, Scope,
        slices::{Figures, Rest, Rotation, Running, Slice, TURNS},
    },
};
use proptest::prelude::*;

use crate::world::START;

fn load(server: u32, running: u16) -> Load {
    Load {
        server,
        running,
        outcomes: OutcomeCounts::default(),
    }
}

/// Routers of the previous version ignore frames that they do not know. A new kind of frame
/// must not take the number of an old one.
#[test]
fn the_frame_of_slices_is_unknown_to_the_previous_version() {
    let frame = Frame::LoadSlice(LoadSlice {
        scope: Scope::Fleet { routers: 3 },
        slice: Slice {
            first: 0,
            last: 127,
            running: Running::Servers(vec![(5, 6)]),
        },
        relay_to: vec![7],
    });
    let bytes = frame.encode().expect("the frame fits one datagram");
    assert_eq!(bytes, [9, 2, 3, 0, 127, 0, 1, 5, 6, 1, 7]);
    assert_eq!(Frame::decode(&bytes), Ok(frame));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::with_cases(300) })]

    /// Whatever the hashes of the servers are, slices fit a datagram and name each server
    /// with its requests, or count them in a range.
    #[test]
    fn slices_cover_any_servers(
        running in proptest::collection::btree_map(0_u32..1 << 24, 1_u16..500, 0..900),
        turns in 1_usize..6,
    ) {
        let rest: Vec<_> = running.into_iter().map(|(server, running)| load(server, running)).collect();
        let sum: u32 = rest.iter().map(|load| u32::from(load.running)).sum();
        let rest = Rest::new(rest);
        let mut rotation = Rotation::default();
        let mut figures = Figures::default();
        for _ in 0..TURNS {
            let Some(slice) = rotation.next(&rest, turns, START) else {
                prop_assert_eq!(sum, 0);
                continue;
            };
            let frame = Frame::LoadSlice(LoadSlice {
                scope: Scope::Router,
                slice,
                relay_to: Vec::new(),
            });
            let Ok(Frame::LoadSlice(received)) = Frame::decode(&frame.encode().expect("the frame fits one datagram")) else {
                panic!("decoded as another kind of frame");
            };
            figures.apply(&received.slice, START);
        }
        let known = figures.complete(Vec::new(), START);
        let mut unnamed = Buckets::default();
        figures.add_buckets(&mut unnamed, START);
        let known: u32 = known.iter().map(|load| u32::from(load.running)).sum();
        let unnamed: u32 = unnamed.iter().map(|(_, running)| running).sum();
        prop_assert_eq!(known + unnamed, sum);
    }

    /// Absurd slices do not panic and leave other ranges unchanged.
    #[test]
    fn absurd_slices_change_nothing_outside_their_range(
        first in any::<u32>(),
        last in any::<u32>(),
        steps in proptest::collection::vec((any::<u32>(), any::<u16>()), 0..20),
    ) {
        let mut figures = Figures::default();
        let all = Slice { first: 0, last: (1 << 24) - 1, running: Running::Servers(vec![(7, 3), (1 << 23, 5)]) };
        figures.apply(&all, START);
        figures.apply(&Slice { first, last, running: Running::Servers(steps) }, START);
        let known = figures.complete(Vec::new(), START);
        for (server, running) in [(7, 3), (7 + (1 << 23), 5)] {
            if !(first..=last).contains(&server) {
                prop_assert!(known.contains(&load(server, running)));
            }
        }
    }
}
