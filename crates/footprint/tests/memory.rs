//! The memory of one engine as one router knows it.

use footprint::{Engine, Footprint, Memory, Part, PieceSize, Request, Tokens, Typical, Usage};
use proptest::{prelude::*, test_runner::RngSeed};
use units::{chat, time::Instant};

const NOW: Instant = Instant::from_millis(1_000);
const ENGINE: Engine = Engine {
    memory: Tokens(392_112),
    slots: 12,
};

/// A request of a topic with a part of its own; its output takes 300 tokens at most.
fn request(topic: u64, own: u64, own_tokens: u64) -> Footprint {
    let part = |key, tokens| Part {
        key: chat::Key(key),
        tokens: Tokens(tokens),
    };
    let parts = [part(topic, 10_000), part(1_000_000 + own, own_tokens)];
    let usage = Usage {
        prompt: None,
        hint: Some(Tokens(100)),
        most: Some(Tokens(1_000)),
    };
    Footprint::new(parts.into_iter(), usage, ENGINE)
}

fn start(memory: &mut Memory, number: u64, footprint: &Footprint) {
    let uncached = Tokens(1_000);
    let typical = &mut Typical::default();
    memory.start(Request(number), footprint, uncached, typical, NOW);
}

/// Requests that run side by side share a prompt. If it was counted for each, an engine would
/// look full with a fraction of the requests that fit.
#[test]
fn shared_parts_count_once() {
    let mut memory = Memory::default();
    for number in 0..10 {
        start(&mut memory, number, &request(7, number, 1_000));
    }
    assert_eq!(memory.held(), Tokens(10_000 + 10 * 1_300));
    memory.end(Request(0));
    assert_eq!(memory.held(), Tokens(10_000 + 9 * 1_300));
}

/// The engine runs only requests of this router. One more that does not fit beside them would
/// make the engine preempt one.
#[test]
fn a_request_fits_beside_what_runs() {
    let mut memory = Memory::default();
    let typical = Typical::default();
    let footprint = |number| request(number, number, 40_000);
    let mut started = 0;
    while memory.fits(&footprint(started), 0, ENGINE, &typical, NOW) {
        start(&mut memory, started, &footprint(started));
        started += 1;
    }
    assert_eq!(started, 392_112 / 50_300);
    memory.end(Request(0));
    assert!(memory.fits(&footprint(started), 0, ENGINE, &typical, NOW));
}

/// Other routers fill an engine, and this router knows only the number of their requests. If
/// these counted nothing, both would send what does not fit together.
#[test]
fn requests_of_other_routers_take_memory() {
    let memory = Memory::default();
    let mut typical = Typical::default();
    let large = request(1, 1, 40_000);
    assert!(memory.fits(&large, 0, ENGINE, &typical, NOW));
    // With nothing known, they are taken to be as large as this one.
    assert!(!memory.fits(&large, 8, ENGINE, &typical, NOW));
    // Most requests are small.
    for _ in 0..640 {
        typical.record(Tokens(400), &request(1, 1, 100));
    }
    assert!(memory.fits(&large, 8, ENGINE, &typical, NOW));
}

/// Requests of one topic, whose shared prompt is a tenth of an engine's memory, go to one engine
/// from all routers. If each of them counted in full, the engine would look full, and the topic
/// would be read at another engine.
#[test]
fn shared_parts_of_other_routers_count_once() {
    let footprint = |number| {
        let mut footprint = request(7, number, 1_000);
        footprint.parts[0].tokens = Tokens(40_000);
        footprint
    };
    let mut memory = Memory::default();
    let mut typical = Typical::default();
    assert!(!memory.fits(&footprint(99), 11, ENGINE, &typical, NOW));
    for number in 0..16 {
        let footprint = footprint(number);
        memory.start(Request(number), &footprint, Tokens(0), &mut typical, NOW);
        memory.end(Request(number));
    }
    assert!(memory.fits(&footprint(99), 11, ENGINE, &typical, NOW));
    // What really runs there counts in any case.
    let needed = Tokens(40_000 + 12 * 1_300);
    assert!(memory.with(&footprint(99), 11, &typical, NOW) >= needed);
}

/// A request generates more than its caller expected. The excess would fill the engine unnoticed.
#[test]
fn what_is_generated_beyond_the_estimate_counts() {
    let mut memory = Memory::default();
    start(&mut memory, 1, &request(7, 1, 1_000));
    memory.generated(Request(1), Tokens(200));
    assert_eq!(memory.held(), Tokens(11_300));
    memory.generated(Request(1), Tokens(800));
    assert_eq!(memory.held(), Tokens(11_800));
    memory.end(Request(1));
    assert_eq!(memory.held(), Tokens(0));
}

/// The size of a piece is learned from callers' estimates, which are off by a factor of three in
/// either direction.
#[test]
fn the_size_of_a_piece_is_learned() {
    let mut size = PieceSize::default();
    assert_eq!(size.generated(10), Tokens(10));
    for round in 0..300_u32 {
        let hint = [126, 378, 1_134][round as usize % 3];
        size.record(Tokens(hint), 42);
    }
    // Nine tokens are in a piece. The mean of the estimates is above their median.
    let generated = size.generated(100).0;
    assert!((900..=2_700).contains(&generated), "{generated}");
}

/// A step in the life of a request.
#[derive(Clone, Copy, Debug)]
enum Step {
    Start { number: u64, topic: u64, own: u64 },
    FirstEvent(u64),
    Generated(u64, u64),
    End(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let number = 0..12_u64;
    prop_oneof![
        (number.clone(), 0..4_u64, 0..50_000_u64).prop_map(|(number, topic, own)| Step::Start {
            number,
            topic,
            own
        }),
        number.clone().prop_map(Step::FirstEvent),
        (number.clone(), 0..5_000_u64).prop_map(|(number, tokens)| Step::Generated(number, tokens)),
        number.prop_map(Step::End),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Requests start, respond and end in any order, twice or never. What is left of ended ones
    /// would make an engine look full for ever.
    #[test]
    fn nothing_is_left_of_ended_requests(steps in prop::collection::vec(step(), 0..200)) {
        let mut memory = Memory::default();
        for step in steps {
            match step {
                Step::Start { number, topic, own } => {
                    start(&mut memory, number, &request(topic, number, own));
                }
                Step::FirstEvent(number) => drop(memory.first_event(Request(number))),
                Step::Generated(number, tokens) => {
                    memory.generated(Request(number), Tokens(tokens));
                }
                Step::End(number) => drop(memory.end(Request(number))),
            }
            prop_assert_eq!(memory.is_empty(), memory.held() == Tokens(0));
            prop_assert!(memory.waiting() <= Tokens(12 * 1_000));
        }
        for number in 0..12 {
            memory.end(Request(number));
        }
        prop_assert!(memory.is_empty());
        prop_assert_eq!(memory.held(), Tokens(0));
        prop_assert_eq!(memory.waiting(), Tokens(0));
    }
}
