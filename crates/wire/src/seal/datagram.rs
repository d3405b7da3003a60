//! Authenticated datagrams with replay protection.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use units::host;

use super::{
    Error,
    key::{Key, MAC_LENGTH},
};

const USAGE: &str = "sesameweir datagram 1";
const VERSION: u8 = 1;
const TAG_END: usize = 9;
/// The maximum length of a datagram, in bytes. It fits one packet on common links.
const MAX_DATAGRAM: usize = 1400;
/// The size of the replay window: how far a datagram's counter may be behind the newest one.
const WINDOW: u64 = 128;
/// The maximum number of senders for which an opener keeps a replay window.
const MAX_SENDERS: usize = 4096;

/// An identifier of a host: a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u64);

impl Tag {
    /// The tag of `host`.
    pub fn new(host: &host::Id) -> Self {
        let hash = blake3::hash(host.as_str().as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_le_bytes(bytes))
    }
}

/// The first bytes of the hash of `text`.
pub(crate) fn short_hash(text: &str) -> [u8; 4] {
    let [a, b, c, d, ..] = *blake3::hash(text.as_bytes()).as_bytes();
    [a, b, c, d]
}

/// A boot number, which distinguishes the starts of the process on one host. A later start
/// has a higher number.
///
/// It is the wall-clock time of the start in milliseconds. If the clock went
/// backwards, peers report the number that they recorded and the process adopts a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Boot(pub u64);

impl fmt::Display for Boot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The intended receiver of a datagram.
///
/// A datagram addressed to one boot of one process is refused by every other.
/// A datagram that was captured before the process started, or that was sent to
/// a different process, therefore cannot be replayed to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Any receiver. Used for introductions, when the receiver's boot number is not known.
    Anyone,
    /// One boot of one process.
    Process(Tag, Boot),
}

impl Audience {
    fn bytes(self) -> [u8; 16] {
        let (tag, boot) = match self {
            Self::Anyone => (Tag(0), Boot(0)),
            Self::Process(tag, boot) => (tag, boot),
        };
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&tag.0.to_le_bytes());
        bytes[8..].copy_from_slice(&boot.0.to_le_bytes());
        bytes
    }
}

/// Seals the datagrams of one process.
#[derive(Debug)]
pub struct Sealer {
    key: Key,
    tag: Tag,
    boot: Boot,
    counter: u64,
}

impl Sealer {
    /// Creates a sealer for the process on `host` with the boot number `boot`.
    pub fn new(key: &Key, host: &host::Id, boot: Boot) -> Self {
        Self {
            key: key.derive(USAGE),
            tag: Tag::new(host),
            boot,
            counter: 0,
        }
    }

    /// Seals `payload` for `audience`.
    pub fn seal(&mut self, payload: &[u8], audience: Audience) -> Vec<u8> {
        self.counter += 1;
        let mut datagram = Vec::with_capacity(TAG_END + 20 + payload.len() + MAC_LENGTH);
        datagram.push(VERSION);
        datagram.extend_from_slice(&self.tag.0.to_le_bytes());
        put_varint(&mut datagram, self.boot.0);
        put_varint(&mut datagram, self.counter);
        datagram.extend_from_slice(payload);
        let mac = self.key.mac(&[&audience.bytes(), &datagram]);
        datagram.extend_from_slice(&mac);
        datagram
    }
}

/// A datagram that passed authentication.
#[derive(Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    /// The sender's tag.
    pub tag: Tag,
    /// The sender's boot number.
    pub boot: Boot,
    /// Whether the datagram was addressed to this process and checked for replay.
    /// Otherwise it is an introduction and may be a replay: the receiver may
    /// reply to it, but must not act on its content.
    pub fresh: bool,
    /// The sealed payload.
    pub payload: &'a [u8],
}

/// Authenticates the datagrams that one process receives.
#[derive(Debug)]
pub struct Opener {
    key: Key,
    audience: Audience,
    senders: BTreeMap<Tag, Window>,
    clock: u64,
}

impl Opener {
    /// Creates an opener for the process on `host` with the boot number `boot`.
    pub fn new(key: &Key, host: &host::Id, boot: Boot) -> Self {
        Self {
            key: key.derive(USAGE),
            audience: Audience::Process(Tag::new(host), boot),
            senders: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Authenticates a datagram and returns its payload.
    ///
    /// # Errors
    ///
    /// [`Error`] if the datagram is malformed, was not sealed with this key for
    /// this process, or is a replay. A refused datagram changes no replay
    /// window.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<Opened<'a>, Error> {
        let parsed = Parsed::new(datagram)?;
        let fresh = self.is_fresh(&parsed)?;
        if fresh {
            self.accept(parsed.tag, parsed.boot, parsed.counter)?;
        }
        Ok(Opened {
            tag: parsed.tag,
            boot: parsed.boot,
            fresh,
            payload: parsed.payload,
        })
    }

    /// The number of senders with a replay window.
    pub fn senders(&self) -> usize {
        self.senders.len()
    }

    fn is_fresh(&self, parsed: &Parsed<'_>) -> Result<bool, Error> {
        let sealed = |audience: Audience| {
            self.key
                .verify(&[&audience.bytes(), parsed.authenticated], parsed.mac)
        };
        if sealed(self.audience) {
            return Ok(true);
        }
        if sealed(Audience::Anyone) {
            return Ok(false);
        }
        Err(Error::Forged)
    }

    fn accept(&mut self, tag: Tag, boot: Boot, counter: u64) -> Result<(), Error> {
        self.clock += 1;
        if !self.senders.contains_key(&tag) && self.senders.len() >= MAX_SENDERS {
            self.evict();
        }
        let window = self.senders.entry(tag).or_insert(Window::new(boot));
        window.accept(boot, counter)?;
        window.last_used = self.clock;
        Ok(())
    }

    /// Evicts the least recently active sender, to bound memory.
    fn evict(&mut self) {
        let oldest = self
            .senders
            .iter()
            .min_by_key(|(_, window)| window.last_used);
        if let Some(tag) = oldest.map(|(tag, _)| *tag) {
            self.senders.remove(&tag);
        }
    }
}

/// The parts of a datagram that is not authenticated yet.
struct Parsed<'a> {
    tag: Tag,
    boot: Boot,
    counter: u64,
    payload: &'a [u8],
    authenticated: &'a [u8],
    mac: &'a [u8],
}

impl<'a> Parsed<'a> {
    fn new(datagram: &'a [u8]) -> Result<Self, Error> {
        if datagram.len() > MAX_DATAGRAM || datagram.len() < TAG_END + MAC_LENGTH {
            return Err(Error::Malformed);
        }
        let (authenticated, mac) = datagram.split_at(datagram.len() - MAC_LENGTH);
        let (head, rest) = authenticated.split_at(TAG_END);
        if head[0] != VERSION {
            return Err(Error::Malformed);
        }
        let mut tag = [0; 8];
        tag.copy_from_slice(&head[1..]);
        let (boot, rest) = take_varint(rest)?;
        let (counter, payload) = take_varint(rest)?;
        Ok(Self {
            tag: Tag(u64::from_le_bytes(tag)),
            boot: Boot(boot),
            counter,
            payload,
            authenticated,
            mac,
        })
    }
}

/// The replay window of one sender.
#[derive(Debug)]
struct Window {
    boot: Boot,
    newest: u64,
    /// Bit `n` is set if a datagram with the counter `newest - n` was accepted.
    seen: u128,
    last_used: u64,
}

impl Window {
    fn new(boot: Boot) -> Self {
        Self {
            boot,
            newest: 0,
            seen: 0,
            last_used: 0,
        }
    }

    fn accept(&mut self, boot: Boot, counter: u64) -> Result<(), Error> {
        if boot < self.boot {
            return Err(Error::Replayed);
        }
        if boot > self.boot {
            *self = Self::new(boot);
        }
        if counter > self.newest {
            self.advance(counter);
            return Ok(());
        }
        let behind = self.newest - counter;
        if behind >= WINDOW || self.seen >> behind & 1 == 1 {
            return Err(Error::Replayed);
        }
        self.seen |= 1 << behind;
        Ok(())
    }

    fn advance(&mut self, counter: u64) {
        let step = counter - self.newest;
        self.seen = if step >= WINDOW { 0 } else { self.seen << step };
        self.seen |= 1;
        self.newest = counter;
    }
}

fn put_varint(bytes: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        bytes.push(value.to_le_bytes()[0] | 0x80);
        value >>= 7;
    }
    bytes.push(value.to_le_bytes()[0]);
}

fn take_varint(bytes: &[u8]) -> Result<(u64, &[u8]), Error> {
    let mut value = 0;
    for (index, byte) in bytes.iter().enumerate().take(9) {
        value |= u64::from(byte & 0x7f) << (7 * index);
        if byte & 0x80 == 0 {
            return Ok((value, &bytes[index + 1..]));
        }
    }
    Err(Error::Malformed)
}
