use std::collections::BTreeMap;

use amq_protocol::frame::AMQPContentHeader;
use amq_protocol::protocol::basic::AMQPProperties;
use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// A method that carries content, with all of it.
#[derive(Debug, PartialEq)]
pub struct Content<M> {
    pub method: M,
    pub properties: AMQPProperties,
    pub body: Bytes,
}

/// A frame that may not stand where it does: the specification ends the connection for it (501, 505).
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

enum Part<M> {
    Method(M),
    Body { method: M, properties: Box<AMQPProperties>, body: BytesMut, left: usize },
}

/// Puts contents together: on each channel a method, its header, and bodies up to the size that the header names. Contents of
/// several channels may come mixed.
pub struct ContentAssembler<M> {
    parts: BTreeMap<u16, Part<M>>,
    most: u64,
}

impl<M> ContentAssembler<M> {
    /// No content may be longer than this.
    pub fn new(most: u64) -> ContentAssembler<M> {
        ContentAssembler { parts: BTreeMap::new(), most }
    }

    /// A method that carries content.
    pub fn start(&mut self, channel: u16, method: M) -> Result<(), ContentError> {
        self.check_idle(channel)?;
        self.parts.insert(channel, Part::Method(method));
        Ok(())
    }

    /// A method that carries none: it may not stand within a content.
    pub fn check_idle(&self, channel: u16) -> Result<(), ContentError> {
        if self.parts.contains_key(&channel) {
            return Err(ContentError::Interrupted(channel));
        }
        Ok(())
    }

    pub fn header(
        &mut self, channel: u16, header: AMQPContentHeader,
    ) -> Result<Option<Content<M>>, ContentError> {
        let method = match self.parts.remove(&channel) {
            Some(Part::Method(method)) => method,
            Some(Part::Body { .. }) => return Err(ContentError::Interrupted(channel)),
            None => return Err(ContentError::Unexpected(channel)),
        };
        let (size, properties) = (header.body_size, header.properties);
        if size > self.most {
            return Err(ContentError::OverLimit(size, channel));
        }
        if size == 0 {
            return Ok(Some(Content { method, properties, body: Bytes::new() }));
        }
        // What a header promises is not believed before it comes.
        let (left, body, properties) = (size as usize, BytesMut::new(), Box::new(properties));
        self.parts.insert(channel, Part::Body { method, properties, body, left });
        Ok(None)
    }

    pub fn body(&mut self, channel: u16, data: &[u8]) -> Result<Option<Content<M>>, ContentError> {
        let Some(Part::Body { body, left, .. }) = self.parts.get_mut(&channel) else {
            return Err(ContentError::Unexpected(channel));
        };
        *left = left.checked_sub(data.len()).ok_or(ContentError::TooLong(channel))?;
        body.extend_from_slice(data);
        if *left > 0 {
            return Ok(None);
        }
        match self.parts.remove(&channel) {
            Some(Part::Body { method, properties, body, .. }) => {
                Ok(Some(Content { method, properties: *properties, body: body.freeze() }))
            }
            _ => Err(ContentError::Unexpected(channel)),
        }
    }

    /// A channel has ended: what was under way on it is void.
    pub fn channel_closed(&mut self, channel: u16) {
        self.parts.remove(&channel);
    }
}
