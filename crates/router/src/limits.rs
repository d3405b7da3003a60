//! Limits on what callers and peers may send.

use std::time::Duration;

/// The longest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// The longest head of a request, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The most headers of a request.
pub const MAX_HEADERS: usize = 64;
/// The longest head that is read at all, in bytes. One between the two limits
/// is answered with an error that names the limit, a longer one by the HTTP
/// library with a bare status.
pub const MAX_HEAD_READ_BYTES: usize = 4 * MAX_HEAD_BYTES;
/// The most headers that are read at all.
pub const MAX_HEADERS_READ: usize = 4 * MAX_HEADERS;
/// The longest name that a caller gives a chat or a request, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// How long a caller may take to send the head of a request.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a caller may take to send the body of a request.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// The most connections of callers.
pub const MAX_CONNECTIONS: usize = 8192;
