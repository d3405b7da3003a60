//! Memory that decoding reserves.

use std::fs;

use wire::{Error, heartbeat::Frame};

/// The maximum growth of the process's address space during decoding, in kilobytes.
const MAX_GROWTH_KB: u64 = 64 * 1024;

/// The peak size of the address space of this process, in kilobytes.
fn peak_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmPeak:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

// A frame announces a list of ten million items and ends there. A router that
// reserved memory for them would be killed by the out-of-memory killer and lose all
// its requests.
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
