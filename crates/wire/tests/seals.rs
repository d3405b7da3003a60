//! Datagrams and streams that have to be refused.
#![expect(clippy::unwrap_used, reason = "a failed setup of a test ends the test")]

use bytes::BytesMut;
use proptest::{prelude::*, test_runner::RngSeed};
use units::host;
use wire::seal::{
    Audience, Boot, Error, Handshake, Key, Malformed, Opener, Role, Sealer, Session, Tag, Writer,
};

const KEY: Key = Key::from_bytes([7; 32]);

fn host(name: &str) -> host::Id {
    name.parse().unwrap()
}

fn sealer() -> Sealer {
    Sealer::new(&KEY, &host("a"), Boot(5))
}

fn opener() -> Opener {
    Opener::new(&KEY, &host("b"), Boot(9))
}

fn audience_b() -> Audience {
    Audience::Process(Tag::new(&host("b")), Boot(9))
}

fn sessions() -> (Session, Session) {
    let client = Handshake::new(&KEY, Role::Client, [1; 16]);
    let server = Handshake::new(&KEY, Role::Server, [2; 16]);
    let (to_server, to_client) = (client.hello(), server.hello());
    (
        client.finish(&to_client).unwrap(),
        server.finish(&to_server).unwrap(),
    )
}

fn frame(writer: &mut Writer, payload: &[u8]) -> Vec<u8> {
    let header = writer.header(&[payload]).unwrap();
    [&header[..], payload].concat()
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

// An attacker captures a heartbeat and replays it to the same router, to another
// router, or to the same router after a restart. If it were accepted, a router
// that has left would reappear in the membership and receive requests.
#[test]
fn replayed_datagrams_are_refused() {
    let mut sealer = sealer();
    let datagram = sealer.seal(b"beat", audience_b());
    let mut opener = opener();
    assert!(opener.open(&datagram).unwrap().fresh);
    assert_eq!(opener.open(&datagram), Err(Error::Replayed));
    let mut other = Opener::new(&KEY, &host("c"), Boot(9));
    assert_eq!(other.open(&datagram), Err(Error::Forged));
    let mut restarted = Opener::new(&KEY, &host("b"), Boot(10));
    assert_eq!(restarted.open(&datagram), Err(Error::Forged));
}

// An introduction is addressed to any receiver, so it can be replayed. It is not
// marked as fresh, and the membership ignores its contents.
#[test]
fn introductions_are_never_fresh() {
    let datagram = sealer().seal(b"join", Audience::Anyone);
    let mut opener = opener();
    assert!(!opener.open(&datagram).unwrap().fresh);
    assert!(!opener.open(&datagram).unwrap().fresh);
}

// The sender restarts. Datagrams of its earlier process that are still in transit
// must be refused.
#[test]
fn datagrams_of_an_earlier_boot_are_refused() {
    let old = sealer().seal(b"old", audience_b());
    let new = Sealer::new(&KEY, &host("a"), Boot(6)).seal(b"new", audience_b());
    let mut opener = opener();
    opener.open(&new).unwrap();
    assert_eq!(opener.open(&old), Err(Error::Replayed));
}

#[test]
fn datagrams_under_another_key_are_refused() {
    let other = Key::from_bytes([8; 32]);
    let datagram = Sealer::new(&other, &host("a"), Boot(5)).seal(b"beat", audience_b());
    assert_eq!(opener().open(&datagram), Err(Error::Forged));
    assert_ne!(
        KEY.derive("one").digest(&[b"x"]),
        KEY.derive("two").digest(&[b"x"])
    );
}

#[yare::parameterized(
    short = { "07" },
    long = { "070707070707070707070707070707070707070707070707070707070707070707" },
    letters = { "zz07070707070707070707070707070707070707070707070707070707070707" },
)]
fn malformed_keys_are_refused_and_not_printed(text: &str) {
    let refused: Result<Key, Malformed> = text.parse();
    assert!(!refused.unwrap_err().to_string().contains(text));
}

#[test]
fn key_is_parsed_from_hex_and_not_printed() {
    let key: Key = "07".repeat(32).parse().unwrap();
    assert_eq!(key.digest(&[b"x"]), KEY.digest(&[b"x"]));
    assert_eq!(format!("{key:?}"), "Key(..)");
}

// Thousands of unknown processes send datagrams to a router. The number of replay
// windows is bounded, and the least recently active sender is evicted first.
#[test]
fn number_of_remembered_senders_is_bounded() {
    let mut opener = opener();
    let kept = sealer().seal(b"kept", audience_b());
    for index in 0..9000 {
        let name = host(&format!("host-{index}"));
        let datagram = Sealer::new(&KEY, &name, Boot(1)).seal(b"x", audience_b());
        opener.open(&datagram).unwrap();
        if index == 8999 {
            opener.open(&kept).unwrap();
        }
    }
    assert_eq!(opener.open(&kept), Err(Error::Replayed));
    assert_eq!(opener.senders(), 4096);
}

// The peer of a hop announces a frame of four gigabytes. A buffer of that size
// would exhaust the memory that other requests need.
#[test]
fn oversized_frame_is_refused_before_allocation() {
    let (_, mut server) = sessions();
    let mut buffer = BytesMut::from(&[0xff; Handshake::HEADER_LENGTH][..]);
    let before = buffer.capacity();
    assert_eq!(server.reader.open(&mut buffer), Err(Error::Malformed));
    assert_eq!(buffer.capacity(), before);
    let (mut client, _) = sessions();
    let payload = vec![0; Writer::MAX_PAYLOAD + 1];
    assert_eq!(client.writer.header(&[&payload]), Err(Error::Malformed));
}

// An attacker reflects the client's hello, so that the client would establish a session
// with itself.
#[test]
fn reflected_hello_is_refused() {
    let client = Handshake::new(&KEY, Role::Client, [1; 16]);
    let hello = client.hello();
    assert_eq!(client.finish(&hello).unwrap_err(), Error::Replayed);
    let client = Handshake::new(&KEY, Role::Client, [1; 16]);
    assert_eq!(client.finish(&[9; 17]).unwrap_err(), Error::Malformed);
}

// An attacker replays a captured connection to a server. The server's nonce
// differs, so the first frame fails authentication.
#[test]
fn replayed_connection_is_refused() {
    let (mut client, _) = sessions();
    let recorded = frame(&mut client.writer, b"call");
    let server = Handshake::new(&KEY, Role::Server, [3; 16]);
    let hello = Handshake::new(&KEY, Role::Client, [1; 16]).hello();
    let mut session = server.finish(&hello).unwrap();
    let mut buffer = BytesMut::from(&recorded[..]);
    assert_eq!(session.reader.open(&mut buffer), Err(Error::Forged));
}

proptest! {
    #![proptest_config(config(500))]

    // Datagrams arrive late, duplicated and in any order. Each is accepted at most once.
    #[test]
    fn each_datagram_is_accepted_once(order in prop::collection::vec(0..200usize, 1..600)) {
        let mut sealer = sealer();
        let datagrams: Vec<_> = (0..200).map(|_| sealer.seal(b"x", audience_b())).collect();
        let mut opener = opener();
        let mut accepted = vec![0; 200];
        let mut newest = 0;
        for index in order {
            let opened = opener.open(&datagrams[index]).is_ok();
            accepted[index] += usize::from(opened);
            let in_window = index + 128 > newest;
            prop_assert!(opened || accepted[index] == 1 || !in_window);
            newest = newest.max(index);
        }
        prop_assert!(accepted.iter().all(|count| *count <= 1));
    }

    // An attacker on the network alters one byte of a datagram or truncates it.
    #[test]
    fn altered_datagrams_are_refused(
        index: prop::sample::Index,
        flip in 1..=255u8,
        cut: prop::sample::Index,
    ) {
        let datagram = sealer().seal(b"a payload of some length", audience_b());
        let mut altered = datagram.clone();
        altered[index.index(datagram.len())] ^= flip;
        prop_assert!(opener().open(&altered).is_err());
        prop_assert!(opener().open(&datagram[..cut.index(datagram.len())]).is_err());
        prop_assert!(opener().open(&datagram).is_ok());
    }

    #[test]
    fn any_bytes_are_refused_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        prop_assert!(opener().open(&bytes).is_err());
        let (_, mut server) = sessions();
        let mut buffer = BytesMut::from(&bytes[..]);
        let opened = server.reader.open(&mut buffer);
        prop_assert!(!matches!(opened, Ok(Some(_))));
    }

    // The bytes of a connection arrive in chunks of any size.
    #[test]
    fn frames_are_reassembled_from_any_chunks(
        payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..8),
        chunk in 1..64usize,
    ) {
        let (mut client, mut server) = sessions();
        let bytes: Vec<u8> = payloads
            .iter()
            .flat_map(|payload| frame(&mut client.writer, payload))
            .collect();
        let mut buffer = BytesMut::new();
        let mut opened = Vec::new();
        for chunk in bytes.chunks(chunk) {
            buffer.extend_from_slice(chunk);
            while let Some(payload) = server.reader.open(&mut buffer).unwrap() {
                opened.push(payload.to_vec());
            }
        }
        prop_assert_eq!(opened, payloads);
    }

    // A frame is altered, omitted, repeated, or reflected to its sender.
    #[test]
    fn altered_and_reordered_frames_are_refused(index: prop::sample::Index, flip in 1..=255u8) {
        let (mut client, mut server) = sessions();
        let first = frame(&mut client.writer, b"first");
        let second = frame(&mut client.writer, b"second");
        let mut altered = first.clone();
        altered[index.index(first.len())] ^= flip;
        let opened = server.reader.open(&mut BytesMut::from(&altered[..]));
        prop_assert!(!matches!(opened, Ok(Some(_))));
        let (_, mut server) = sessions();
        prop_assert_eq!(server.reader.open(&mut BytesMut::from(&second[..])), Err(Error::Forged));
        let (mut client, mut server) = sessions();
        prop_assert!(server.reader.open(&mut BytesMut::from(&first[..])).is_ok());
        prop_assert_eq!(server.reader.open(&mut BytesMut::from(&first[..])), Err(Error::Forged));
        prop_assert_eq!(client.reader.open(&mut BytesMut::from(&first[..])), Err(Error::Forged));
    }
}
