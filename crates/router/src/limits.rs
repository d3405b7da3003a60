//! Size limits and timeouts for requests from callers and peers.

use std::time::Duration;

/// Maximum size of a request body.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of a request head: request target and headers.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of headers of a request.
pub const MAX_HEADERS: usize = 64;
/// Maximum size of a request head that the HTTP library accepts. It exceeds
/// [`MAX_HEAD_BYTES`] so that most oversized heads get an error response that
/// names the limit; above it, the library responds with a status and no body.
pub const MAX_HEAD_READ_BYTES: usize = 4 * MAX_HEAD_BYTES;
/// Maximum number of headers that the HTTP library accepts.
pub const MAX_HEADERS_READ: usize = 4 * MAX_HEADERS;
/// Maximum size of a chat name or idempotency key set by a caller.
pub const MAX_NAME_BYTES: usize = 256;
/// Timeout for receiving the head of a request.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for receiving the body of a request.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a request waits for memory for the start of its body.
pub const MEMORY_WAIT: Duration = Duration::from_millis(500);
/// The share of the memory that the kernel may hold of what callers have sent, as a divisor.
pub const SOCKET_MEMORY_DIVISOR: usize = 8;
/// The share of the memory that may hold the bodies of requests, as a divisor.
pub const BODY_MEMORY_DIVISOR: usize = 4;
/// The most bytes that are read of the rest of a refused request.
pub const MAX_DISCARDED_BYTES: usize = 2 * MAX_BODY_BYTES;
/// How long the rest of a refused request is read.
pub const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a refused caller may send nothing meanwhile.
pub const DISCARD_SILENCE: Duration = Duration::from_secs(2);
/// One connection in this many may be read on at once after a refusal.
pub const CONNECTIONS_PER_DISCARD: usize = 2;
