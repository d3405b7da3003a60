//! Datagrams between routers of this version and the one before.

use gateway::{
    load::{Load, Report},
    outlier::OutcomeCounts,
    peers::{Digest, Frame, Total, Versions},
    prefixes::CachedPrefix,
};
use yare::parameterized;

const READ: CachedPrefix = CachedPrefix {
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
    let host = "r0".parse().expect("a name");
    let digest = Digest::new(host, versions, true, Vec::new(), Vec::new()).with_sum(u64::MAX);
    Frame::Digest(digest.with_loads(Report::Full(vec![load(1, 2)]), vec![READ]))
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
        reads: vec![READ],
    }
}

fn sum() -> Frame {
    Frame::Sum {
        zone: 9,
        routers: 39,
        loads: Report::Full(vec![load(70_000, 3)]),
        reads: Vec::new(),
    }
}

fn total() -> Frame {
    Frame::Total(Total {
        aggregator: 77,
        routers: 39,
        loads: Report::Delta {
            running: vec![(1, 1)],
            outcomes: Vec::new(),
        },
        reads: vec![READ, READ],
        others: vec![1, 2],
    })
}

/// Routers are replaced in turn, and those of both versions run side by side for
/// minutes. What one side could not read, it would decide without. The bytes
/// are those that the version before wrote.
#[parameterized(
    of_news = { digest(), "0002723007ac0202ffffffffffffffffff010100010001010208c0020001ef9baf05f8acd19101904e" },
    of_loads = { loads(), "0101020501ac02020105100001ef9baf05f8acd19101904e" },
    of_a_zone = { sum(), "0209270001f0a2040308c00200" },
    of_the_fleet = { total(), "034d27010101010002ef9baf05f8acd19101904eef9baf05f8acd19101904e020102" },
)]
fn datagrams_are_those_of_the_version_before(frame: Frame, recorded: &str) {
    let bytes = frame.encode().expect("it fits");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, recorded);
    assert_eq!(Frame::decode(&bytes), Ok(frame));
}
