//! Compatibility of datagrams between this version and the previous one.

use gateway::{
    load::{Load, Report},
    outlier::OutcomeCounts,
    peers::{Digest, FleetTotal, Frame, Versions},
    prefixes::CachedPrefix,
};
use yare::parameterized;

const CACHED_PREFIX: CachedPrefix = CachedPrefix {
    server: 0x00ab_cdef,
    part: 0x1234_5678,
    tokens: 10_000,
};

fn load(server: u32, running: u16) -> Load {
    Load {
        server,
        running,
        outcomes: OutcomeCounts {
            failed: 8,
            completed: 320,
        },
    }
}

fn digest() -> Frame {
    let versions = Versions {
        configuration: 7,
        servers: 300,
        routers: 2,
    };
    let host = "r0".parse().expect("a valid host name");
    let digest = Digest::new(host, versions, true, Vec::new(), Vec::new()).with_checksum(u64::MAX);
    Frame::Digest(digest.with_loads(Report::Full(vec![load(1, 2)]), vec![CACHED_PREFIX]))
}

fn loads() -> Frame {
    let failed = OutcomeCounts {
        failed: 16,
        completed: 0,
    };
    Frame::Loads {
        loads: Report::Delta {
            running: vec![(5, 1), (300, 2)],
            outcomes: vec![(5, failed)],
        },
        cached_prefixes: vec![CACHED_PREFIX],
    }
}

fn sum() -> Frame {
    Frame::ZoneSum {
        zone: 9,
        routers: 39,
        loads: Report::Full(vec![load(70_000, 3)]),
        cached_prefixes: Vec::new(),
    }
}

fn total() -> Frame {
    Frame::FleetTotal(FleetTotal {
        aggregator: 77,
        routers: 39,
        loads: Report::Delta {
            running: vec![(1, 1)],
            outcomes: Vec::new(),
        },
        cached_prefixes: vec![CACHED_PREFIX, CACHED_PREFIX],
        relay_to: vec![1, 2],
    })
}

/// Routers of the previous version ignore frames that they do not know. A new kind of frame
/// must not take the number of an old one.
#[test]
fn the_frame_of_rollouts_is_unknown_to_the_previous_version() {
    let frame = Frame::Rollout(rollout::Message::Query {
        revision: 1,
        host: 2,
    });
    let bytes = frame.encode().expect("the frame fits one datagram");
    assert_eq!(bytes, [4, 3, 1, 2]);
    assert_eq!(Frame::decode(&bytes), Ok(frame));
}

/// Guards against incompatible datagrams in a rolling update, where routers of both
/// versions run side by side for minutes and would miss what they cannot decode. The
/// recorded bytes were written by the previous version.
#[parameterized(
    digest_frame = { digest(), "0002723007ac0202ffffffffffffffffff010100010001010208c0020001ef9baf05f8acd19101904e" },
    loads_frame = { loads(), "0101020501ac02020105100001ef9baf05f8acd19101904e" },
    zone_sum_frame = { sum(), "0209270001f0a2040308c00200" },
    fleet_total_frame = { total(), "034d27010101010002ef9baf05f8acd19101904eef9baf05f8acd19101904e020102" },
)]
fn datagrams_match_the_previous_version(frame: Frame, recorded: &str) {
    let bytes = frame.encode().expect("the frame fits one datagram");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, recorded);
    assert_eq!(Frame::decode(&bytes), Ok(frame));
}
