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
pub enum Misplaced {
    #[error("content on channel {0} that nothing announced")]
    Unannounced(u16),
    #[error("content on channel {0} is cut short by another method")]
    CutShort(u16),
    #[error("content on channel {0} is longer than it was said to be")]
    Longer(u16),
    #[error("content of {0} bytes on channel {1} is over the limit")]
    OverLimit(u64, u16),
}

enum Part<M> {
    Method(M),
    Body { method: M, properties: Box<AMQPProperties>, body: BytesMut, left: usize },
}

/// Puts contents together: on each channel a method, its header, and bodies up to the size that the header names. Contents of
/// several channels may come mixed.
pub struct Contents<M> {
    parts: BTreeMap<u16, Part<M>>,
    most: u64,
}

impl<M> Contents<M> {
    /// No content may be longer than this.
    pub fn new(most: u64) -> Contents<M> {
        Contents { parts: BTreeMap::new(), most }
    }

    /// A method that carries content.
    pub fn method(&mut self, channel: u16, method: M) -> Result<(), Misplaced> {
        self.plain(channel)?;
        self.parts.insert(channel, Part::Method(method));
        Ok(())
    }

    /// A method that carries none: it may not stand within a content.
    pub fn plain(&self, channel: u16) -> Result<(), Misplaced> {
        if self.parts.contains_key(&channel) {
            return Err(Misplaced::CutShort(channel));
        }
        Ok(())
    }

    pub fn header(
        &mut self, channel: u16, header: AMQPContentHeader,
    ) -> Result<Option<Content<M>>, Misplaced> {
        let method = match self.parts.remove(&channel) {
            Some(Part::Method(method)) => method,
            Some(Part::Body { .. }) => return Err(Misplaced::CutShort(channel)),
            None => return Err(Misplaced::Unannounced(channel)),
        };
        let (size, properties) = (header.body_size, header.properties);
        if size > self.most {
            return Err(Misplaced::OverLimit(size, channel));
        }
        if size == 0 {
            return Ok(Some(Content { method, properties, body: Bytes::new() }));
        }
        // What a header promises is not believed before it comes.
        let (left, body, properties) = (size as usize, BytesMut::new(), Box::new(properties));
        self.parts.insert(channel, Part::Body { method, properties, body, left });
        Ok(None)
    }

    pub fn body(&mut self, channel: u16, data: &[u8]) -> Result<Option<Content<M>>, Misplaced> {
        let Some(Part::Body { body, left, .. }) = self.parts.get_mut(&channel) else {
            return Err(Misplaced::Unannounced(channel));
        };
        *left = left.checked_sub(data.len()).ok_or(Misplaced::Longer(channel))?;
        body.extend_from_slice(data);
        if *left > 0 {
            return Ok(None);
        }
        match self.parts.remove(&channel) {
            Some(Part::Body { method, properties, body, .. }) => {
                Ok(Some(Content { method, properties: *properties, body: body.freeze() }))
            }
            _ => Err(Misplaced::Unannounced(channel)),
        }
    }

    /// A channel has ended: what was under way on it is void.
    pub fn closed(&mut self, channel: u16) {
        self.parts.remove(&channel);
    }
}
