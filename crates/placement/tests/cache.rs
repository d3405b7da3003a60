//! The owner's cache index, and earlier homes of chats.

use std::time::Duration;

use placement::{CacheIndex, History, Settings, Topology, cache, topology};
use proptest::{prelude::*, test_runner};
use units::{chat, time::Instant};

const BOOT: cache::BootId = cache::BootId(1);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[derive(Clone, Debug)]
enum Step {
    Served(u64, u32),
    Stored(u64, u32),
    Evicted(u64),
    EventLost,
    LateEvent,
    Restarted,
}

fn step() -> impl Strategy<Value = Step> {
    let (chat, tokens) = (0..6_u64, 100..1000_u32);
    prop_oneof![
        4 => (chat.clone(), tokens.clone()).prop_map(|(chat, tokens)| Step::Served(chat, tokens)),
        2 => (chat.clone(), tokens).prop_map(|(chat, tokens)| Step::Stored(chat, tokens)),
        3 => chat.prop_map(Step::Evicted),
        1 => Just(Step::EventLost),
        1 => Just(Step::LateEvent),
        1 => Just(Step::Restarted),
    ]
}

proptest! {
    #![proptest_config(config())]

    // Cache events arrive late or are lost, and the engine restarts in between.
    // If the eviction of a chat is lost, the chat would repeatedly be sent to an
    // engine that no longer has it, and its cost would be estimated as if it were
    // cached. So after a gap, no chat served before it counts as cached until the
    // engine has served it again.
    #[test]
    fn chats_served_before_an_event_gap_are_not_cached(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut index = CacheIndex::new(Settings::default());
        let (mut boot, mut sequence, mut now) = (BOOT, 0, 0);
        // The cached tokens by the latest update of each chat since the last gap.
        let mut certain_tokens = [None; 6];
        let mut has_received = false;
        let mut has_gap = false;
        for step in steps {
            now += 1;
            match step {
                Step::Served(chat, tokens) => {
                    index.record_served(chat::Key(chat), tokens, at(now));
                    certain_tokens[chat as usize] = Some(tokens);
                }
                Step::Stored(chat, tokens) => {
                    sequence += 1;
                    let event = cache::Event::Stored { tokens };
                    index.apply_event(boot, sequence, chat::Key(chat), event, at(now));
                    if has_gap {
                        certain_tokens = [None; 6];
                    }
                    certain_tokens[chat as usize] = Some(tokens);
                    (has_received, has_gap) = (true, false);
                }
                Step::Evicted(chat) => {
                    sequence += 1;
                    index.apply_event(boot, sequence, chat::Key(chat), cache::Event::Evicted, at(now));
                    if has_gap {
                        certain_tokens = [None; 6];
                    }
                    certain_tokens[chat as usize] = None;
                    (has_received, has_gap) = (true, false);
                }
                Step::EventLost => {
                    sequence += 1;
                    has_gap = true;
                }
                Step::LateEvent => {
                    let event = cache::Event::Stored { tokens: 5000 };
                    index.apply_event(boot, sequence.min(1), chat::Key(0), event, at(now));
                    if sequence == 0 || !has_received {
                        return Ok(());
                    }
                }
                Step::Restarted => {
                    boot = cache::BootId(boot.0 + 1);
                    index.observe_boot(boot);
                    certain_tokens = [None; 6];
                    (sequence, has_received, has_gap) = (0, false, false);
                }
            }
            for chat in 0..6_u64 {
                let cached = index.cached_tokens(chat::Key(chat), at(now));
                let expected = certain_tokens[chat as usize];
                prop_assert!(cached.is_none() || cached == expected, "chat {chat}: {cached:?}, {expected:?}");
            }
        }
    }
}

// A router indexes the chats of all its engines, which may be millions. Without a
// limit its memory would grow until the host kills the process, and with it all
// open streams.
#[test]
fn index_is_bounded_and_keeps_the_latest_chats() {
    let settings = Settings {
        max_chats_per_server: 100,
        ..Settings::default()
    };
    let mut index = CacheIndex::new(settings);
    for number in 0..10_000 {
        index.record_served(chat::Key(number), 1000, at(number));
        assert!(index.len() <= 100);
    }
    let is_cached = |chat| index.cached_tokens(chat::Key(chat), at(10_000)).is_some();
    assert!((9_900..10_000).all(is_cached));
    assert!(!(0..9_900).any(is_cached));
}

fn topology(exclude_zone: bool) -> Topology {
    let members = (0..12).map(|number| topology::Member {
        id: format!("engine-{number}").parse().expect("a valid name"),
        zone: format!("zone-{}", number % 3)
            .parse()
            .expect("a valid name"),
        weight: 1,
        state: if exclude_zone && number % 3 == 1 {
            topology::State::Excluded
        } else {
            topology::State::Eligible
        },
    });
    Topology::new(members.collect())
}

// A zone returns to service after a minute. If all of its chats returned at once,
// its engines would recompute thousands of prompts at the same time, and the first
// tokens of all callers would be late. Each chat returns at its own instant within
// the return window.
#[test]
fn chats_of_a_returning_zone_return_gradually() {
    let settings = Settings {
        return_window: Duration::from_secs(300),
        ..Settings::default()
    };
    let mut history = History::new(settings, topology(false));
    history.replace(topology(true), at(0));
    history.replace(topology(false), at(60_000));
    let chats = || (0..6_000_u64).map(|n| chat::Key(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    let count_away = |now: u64| {
        let staying = chats().filter(|chat| !history.earlier_homes(*chat, at(now)).is_empty());
        staying.count()
    };
    let moved = count_away(60_000);
    let share = moved as f64 / 6_000.0;
    assert!(
        (0.30..0.37).contains(&share),
        "share of the chats with an earlier home, expected a third: {share}"
    );
    let mut previously_away = moved;
    for now in (75_000..=360_000).step_by(15_000) {
        let still_away = count_away(now);
        let returned = (previously_away - still_away) as f64 / moved as f64;
        assert!(
            returned < 0.08,
            "{returned} of the chats return within 15 seconds"
        );
        previously_away = still_away;
    }
    assert_eq!(previously_away, 0);
}

// A zone is taken out of service while chats still have an earlier home in it. The
// entry router must not send them there, since the zone is about to be shut down.
#[test]
fn excluded_earlier_homes_are_not_candidates() {
    let mut history = History::new(Settings::default(), topology(false));
    history.replace(topology(true), at(0));
    for number in 0..5_000_u64 {
        for home in history.earlier_homes(chat::Key(number), at(1)) {
            assert!(history.current().is_eligible(&home));
        }
    }
}
