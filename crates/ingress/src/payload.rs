//! A body that was received whole.

use std::{
    convert::Infallible,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{self, Frame, SizeHint};

use crate::Share;

#[derive(Debug, Default)]
struct Whole {
    segments: Vec<Bytes>,
    length: usize,
    /// Gives the memory back when the body is dropped.
    _share: Option<Share>,
}

/// A body in segments. Clones share its memory.
#[derive(Clone, Debug, Default)]
pub struct Payload(Arc<Whole>);

impl Payload {
    pub(crate) fn new(segments: Vec<Bytes>, share: Option<Share>) -> Self {
        let length = segments.iter().map(Bytes::len).sum();
        Self(Arc::new(Whole {
            segments,
            length,
            _share: share,
        }))
    }

    /// The length in bytes.
    pub fn len(&self) -> usize {
        self.0.length
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.length == 0
    }

    /// The segments in their order.
    pub fn segments(&self) -> &[Bytes] {
        &self.0.segments
    }

    /// All bytes, if they are in one segment.
    pub fn as_slice(&self) -> Option<&[u8]> {
        match self.segments() {
            [] => Some(&[]),
            [segment] => Some(segment),
            _ => None,
        }
    }

    /// Reads the bytes.
    pub fn reader(&self) -> Reader<'_> {
        Reader {
            segments: self.segments(),
            current: &[],
        }
    }

    /// The body of a message.
    pub fn body(&self) -> Body {
        Body {
            payload: self.clone(),
            next: 0,
            left: self.len(),
        }
    }
}

impl From<Bytes> for Payload {
    /// A body whose memory is accounted for elsewhere.
    fn from(bytes: Bytes) -> Self {
        let is_empty = bytes.is_empty();
        Self::new(if is_empty { Vec::new() } else { vec![bytes] }, None)
    }
}

/// Reads the bytes of a [`Payload`].
#[derive(Clone, Debug)]
pub struct Reader<'a> {
    segments: &'a [Bytes],
    current: &'a [u8],
}

impl io::Read for Reader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.current.is_empty() {
            let Some((first, rest)) = self.segments.split_first() else {
                return Ok(0);
            };
            (self.current, self.segments) = (first, rest);
        }
        self.current.read(buffer)
    }
}

/// A [`Payload`] as the body of a message, one segment a frame.
#[derive(Clone, Debug, Default)]
pub struct Body {
    payload: Payload,
    next: usize,
    left: usize,
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(segment) = self.payload.segments().get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.left -= segment.len();
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
