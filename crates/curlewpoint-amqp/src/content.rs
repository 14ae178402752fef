use std::collections::BTreeMap;

use amq_protocol::frame::AMQPContentHeader;
use amq_protocol::protocol::basic::AMQPProperties;
use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// A method with its complete content.
#[derive(Debug, PartialEq)]
pub struct Content<M> {
    pub method: M,
    pub properties: AMQPProperties,
    pub body: Bytes,
}

/// A content frame that is not allowed at its position. The specification requires closing the connection (501, 505).
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum ContentError {
    #[error("content on channel {0} that nothing announced")]
    Unexpected(u16),
    #[error("content on channel {0} is cut short by another method")]
    Interrupted(u16),
    #[error("content on channel {0} is longer than it was said to be")]
    TooLong(u16),
    #[error("content of {0} bytes on channel {1} is over the limit")]
    OverLimit(u64, u16),
}

/// Content that is not complete yet.
enum Partial<M> {
    Method(M),
    Body { method: M, properties: Box<AMQPProperties>, body: BytesMut, bytes_left: usize },
}

/// Assembles contents: on each channel a method, its header, and body frames up to the size stated in the header. Frames of
/// several channels may be interleaved.
pub struct ContentAssembler<M> {
    partials: BTreeMap<u16, Partial<M>>,
    max_size: u64,
}

impl<M> ContentAssembler<M> {
    /// `max_size` is the maximum size of a content in bytes.
    pub fn new(max_size: u64) -> ContentAssembler<M> {
        ContentAssembler { partials: BTreeMap::new(), max_size }
    }

    /// Begins a content with its method.
    pub fn start(&mut self, channel: u16, method: M) -> Result<(), ContentError> {
        self.check_idle(channel)?;
        self.partials.insert(channel, Partial::Method(method));
        Ok(())
    }

    /// Checks that no content is open on the channel, as a method without content may not interrupt one.
    pub fn check_idle(&self, channel: u16) -> Result<(), ContentError> {
        if self.partials.contains_key(&channel) {
            return Err(ContentError::Interrupted(channel));
        }
        Ok(())
    }

    /// Handles a content header. Returns the content if it has no body.
    pub fn header(
        &mut self, channel: u16, header: AMQPContentHeader,
    ) -> Result<Option<Content<M>>, ContentError> {
        let method = match self.partials.remove(&channel) {
            Some(Partial::Method(method)) => method,
            Some(Partial::Body { .. }) => return Err(ContentError::Interrupted(channel)),
            None => return Err(ContentError::Unexpected(channel)),
        };
        let (size, properties) = (header.body_size, header.properties);
        if size > self.max_size {
            return Err(ContentError::OverLimit(size, channel));
        }
        if size == 0 {
            return Ok(Some(Content { method, properties, body: Bytes::new() }));
        }
        // No memory is reserved for the stated size before the body arrives.
        let (bytes_left, body, properties) = (size as usize, BytesMut::new(), Box::new(properties));
        self.partials.insert(channel, Partial::Body { method, properties, body, bytes_left });
        Ok(None)
    }

    /// Handles a body frame. Returns the content once it is complete.
    pub fn body(&mut self, channel: u16, data: &[u8]) -> Result<Option<Content<M>>, ContentError> {
        let Some(Partial::Body { body, bytes_left, .. }) = self.partials.get_mut(&channel) else {
            return Err(ContentError::Unexpected(channel));
        };
        *bytes_left = bytes_left.checked_sub(data.len()).ok_or(ContentError::TooLong(channel))?;
        body.extend_from_slice(data);
        if *bytes_left > 0 {
            return Ok(None);
        }
        match self.partials.remove(&channel) {
            Some(Partial::Body { method, properties, body, .. }) => {
                Ok(Some(Content { method, properties: *properties, body: body.freeze() }))
            }
            _ => Err(ContentError::Unexpected(channel)),
        }
    }

    /// Discards an incomplete content, as its channel was closed.
    pub fn channel_closed(&mut self, channel: u16) {
        self.partials.remove(&channel);
    }
}
