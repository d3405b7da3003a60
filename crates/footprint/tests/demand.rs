//! The footprint of a request.

use footprint::{Engine, Footprint, Part, Tokens, Usage};
use units::chat;
use yare::parameterized;

const ENGINE: Engine = Engine {
    memory: Tokens(392_112),
    slots: 12,
};

fn footprint(prompt: u64, hint: Option<u64>, most: Option<u64>) -> Footprint {
    let part = Part {
        key: chat::Key(1),
        tokens: Tokens(prompt),
    };
    let usage = Usage {
        prompt: Some(Tokens(prompt)),
        hint: hint.map(Tokens),
        most: most.map(Tokens),
    };
    Footprint::new([part].into_iter(), usage, ENGINE)
}

/// Callers give no estimate, one of zero, or one beyond anything that an engine generates. None of
/// these may keep a request from running that would fit.
#[parameterized(
    usual = { Some(300), Some(1_000), 11_800 + 900 },
    bounded_by_the_maximum = { Some(900), Some(1_000), 11_800 + 1_000 },
    beyond_the_maximum = { Some(u64::MAX), Some(1_000), 11_800 + 1_000 },
    absurd_without_maximum = { Some(u64::MAX), None, 392_112 / 12 },
    zero = { Some(0), Some(1_000), 11_800 + 1_000 },
    missing = { None, Some(1_000), 11_800 + 1_000 },
    nothing_stated = { None, None, 392_112 / 12 },
    missing_with_an_absurd_maximum = { None, Some(u64::MAX), 392_112 / 12 },
)]
fn memory_is_set_aside_for_the_output(hint: Option<u64>, most: Option<u64>, total: u64) {
    let footprint = footprint(11_800, hint, most);
    assert_eq!(footprint.total(), Tokens(total));
    assert!(footprint.fits_alone(ENGINE));
}

/// Callers overestimate an output threefold. A request that runs to its end must not be refused
/// for that; one that cannot fit even so must be.
#[parameterized(
    exactly = { 392_112, None, true },
    prompt_too_long = { 392_113, None, false },
    estimate_may_be_too_high = { 392_000, Some(336), true },
    too_long_even_then = { 392_000, Some(339), false },
)]
fn a_request_is_refused_only_if_it_cannot_fit(prompt: u64, hint: Option<u64>, fits: bool) {
    let footprint = footprint(prompt, hint, Some(4_096));
    assert_eq!(footprint.fits_alone(ENGINE), fits);
}

/// A caller states a total that contradicts the parts of its prompt. Its request would be refused
/// although it fits.
#[test]
fn an_absurd_prompt_length_does_not_count() {
    let part = Part {
        key: chat::Key(1),
        tokens: Tokens(1_000),
    };
    let usage = Usage {
        prompt: Some(Tokens(u64::MAX)),
        hint: Some(Tokens(100)),
        most: Some(Tokens(200)),
    };
    let footprint = Footprint::new([part].into_iter(), usage, ENGINE);
    assert_eq!(footprint.total(), Tokens(1_200));
}

/// A service of unknown size must not make the router panic.
#[test]
fn an_engine_without_slots_or_memory_is_no_fault() {
    let engine = Engine::default();
    let usage = Usage::default();
    let footprint = Footprint::new(std::iter::empty(), usage, engine);
    assert_eq!(footprint.total(), Tokens(0));
}
