//! What decoding reserves.

use std::fs;

use wire::{Error, heartbeat::Frame};

/// The most that decoding may add to the process's address space, in kilobytes.
const MAX_GROWTH_KB: u64 = 64 * 1024;

/// The largest size that the address space of this process had, in kilobytes.
fn peak_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmPeak:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

// A frame claims that a list of ten million items follows, and ends there. A
// router that made room for them would be killed for its memory, and with it
// all requests that it carries.
#[test]
fn claimed_list_length_allocates_nothing() {
    // Kind, phase, refutation, version, revision, load, digest, no identity.
    let head = [0, 1, 0, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0];
    let ten_million = [0x80, 0xad, 0xe2, 0x04];
    let mut frame = Vec::from(head);
    frame.extend(ten_million);
    let before = peak_kb();
    assert_eq!(Frame::decode(&frame), Err(Error::Malformed));
    assert!(
        peak_kb() - before < MAX_GROWTH_KB,
        "{} kB",
        peak_kb() - before
    );
}
