//! Compression of values that routers transfer.

use bytes::Bytes;
use gateway::value::Value;
use proptest::prelude::*;
use rand::{SeedableRng as _, rngs::SmallRng};

/// A repetitive text, as configurations are.
fn repetitive() -> Bytes {
    let routes = (0..2000).map(|index| format!("{{\"name\":\"r-{index}\",\"timeout_ms\":1000}}"));
    Bytes::from(routes.collect::<String>())
}

#[test]
fn a_repetitive_value_compresses_and_round_trips() {
    let value = Value::from(repetitive());
    let packed = value.packed().expect("the compressed form").clone();
    assert!(packed.len() * 5 < value.len(), "{}", packed.len());
    let unpacked = Value::unpack(packed.clone(), value.len()).expect("the decompressed value");
    assert_eq!(unpacked, value);
    let relayed = unpacked.packed().expect("the compressed form as received");
    assert_eq!(
        packed.as_ptr(),
        relayed.as_ptr(),
        "the value is not compressed again"
    );
}

#[test]
fn a_short_value_is_not_packed() {
    assert!(Value::from(Bytes::from_static(b"{}")).packed().is_none());
}

/// A value that does not compress, such as an encrypted one, is transferred as it is.
/// Compressing it would delay its first byte and save nothing.
#[test]
fn an_incompressible_value_is_not_packed() {
    let mut bytes = vec![0; 100_000];
    SmallRng::seed_from_u64(1).fill(&mut bytes[..]);
    assert!(Value::from(Bytes::from(bytes)).packed().is_none());
}

/// Guards against memory exhaustion by a small compressed value from a peer.
#[test]
fn a_value_that_is_longer_than_announced_is_refused() {
    let value = Value::from(repetitive());
    let packed = value.packed().expect("the compressed form").clone();
    assert!(Value::unpack(packed.clone(), value.len() - 1).is_err());
    assert!(Value::unpack(packed, value.len() + 1).is_err());
}

proptest! {
    #[test]
    fn any_value_round_trips(bytes in proptest::collection::vec(any::<u8>(), 0..20_000)) {
        let value = Value::from(Bytes::from(bytes));
        if let Some(packed) = value.packed() {
            prop_assert_eq!(Value::unpack(packed.clone(), value.len()), Ok(value));
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic_the_decompressor(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        // Neither result is a failure; the call must not panic.
        drop(Value::unpack(Bytes::from(bytes), 100));
    }
}
