//! Reads a client's commands. All bytes that it holds are counted in the client's memory, and reading pauses while the
//! client may not hold more.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use curlewpoint_link::ReadHalf;
use curlewpoint_platform::resp::{CommandDecoder, CommandLayout, ParsedCommand, RespError};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::{sleep, Sleep};
use tokio_stream::Stream;

use crate::memory_budget::{counted_bytes, ClientMemory, Purpose, Reservation};

/// Maximum number of bytes read at once.
const READ_BYTES: usize = 16 * 1024;
/// Interval at which a reader that may hold no more looks for room in the common pool.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes that a queued command takes beside its own.
const COMMAND_OVERHEAD_BYTES: usize = 256;

/// The words of a command.
pub(crate) type Command = Vec<Bytes>;

/// The reading side of a client connection. Cancelling `next` while it waits loses nothing.
pub(crate) struct CommandReader {
    read: ReadHalf,
    decoder: CommandDecoder,
    memory: Arc<ClientMemory>,
    /// Received bytes; those before `parsed` belong to commands that were returned.
    buffer: Vec<u8>,
    parsed: usize,
    /// Covers the capacity of the buffer.
    reservation: Reservation,
    /// The room check while reading is paused.
    paused: Option<Pin<Box<Sleep>>>,
    ended: bool,
}

impl CommandReader {
    pub fn new(read: ReadHalf, decoder: CommandDecoder, memory: Arc<ClientMemory>) -> CommandReader {
        let reservation = memory.reserve_unchecked(Purpose::Received, 0);
        let (buffer, parsed, paused, ended) = Default::default();
        CommandReader { read, decoder, memory, buffer, parsed, reservation, paused, ended }
    }

    /// Whether a command is received in part.
    pub fn is_partial(&self) -> bool {
        self.parsed < self.buffer.len()
    }

    /// Whether the client has ended the connection, however much is still unread.
    pub fn is_ended_by_peer(&self) -> bool {
        self.read.is_ended_by_peer()
    }

    /// Drops what was received, and returns the connection.
    pub fn discard(&mut self) -> &mut ReadHalf {
        (self.buffer, self.parsed) = Default::default();
        self.reservation.resize(0);
        &mut self.read
    }

    /// Removes the command that the unparsed bytes begin with. Its bytes are copied, so that they are all it holds.
    fn take_command(&mut self, layout: &CommandLayout) -> Command {
        let end = self.parsed + layout.len;
        let bytes = self.buffer[self.parsed..end].to_vec();
        self.parsed = end;
        if self.buffer.len() - self.parsed <= self.buffer.len() / 2 {
            self.release_parsed();
        }
        let held = bytes.len() + COMMAND_OVERHEAD_BYTES;
        let reservation = self.memory.reserve_unchecked(Purpose::Received, held);
        layout.words(&counted_bytes(bytes, reservation))
    }

    /// Frees the part of the buffer that is no longer needed.
    fn release_parsed(&mut self) {
        self.buffer = self.buffer[self.parsed..].to_vec();
        self.parsed = 0;
        self.reservation.resize(self.buffer.capacity());
    }

    /// Reads what has arrived, as far as the client may hold it. Returns false at the end of the connection.
    fn poll_fill(&mut self, context: &mut Context<'_>, needed: usize) -> Poll<std::io::Result<bool>> {
        ready!(self.read.poll_readable(context))?;
        if self.parsed > 0 {
            self.release_parsed();
        }
        let spare = self.buffer.capacity() - self.buffer.len();
        let mut granted = self.memory.reserve_for_read(READ_BYTES.saturating_sub(spare));
        let room = (spare + granted.bytes()).min(READ_BYTES);
        if room == 0 {
            return self.poll_room(context).map(|()| Ok(true));
        }
        self.paused = None;
        let mut scratch = [0; READ_BYTES];
        let mut read = ReadBuf::new(&mut scratch[..room]);
        ready!(Pin::new(&mut self.read).poll_read(context, &mut read))?;
        let received = read.filled();
        if self.buffer.capacity() < self.buffer.len() + received.len() {
            let whole = needed.min(self.buffer.len() + room);
            let wanted = whole.max(self.buffer.len() + received.len());
            self.buffer.reserve_exact(wanted - self.buffer.len());
        }
        self.buffer.extend_from_slice(received);
        granted.resize(0);
        self.reservation.resize(self.buffer.capacity());
        Poll::Ready(Ok(!received.is_empty()))
    }

    /// Waits until the client may hold more.
    fn poll_room(&mut self, context: &mut Context<'_>) -> Poll<()> {
        self.memory.wake_on_release(context);
        let check = self.paused.get_or_insert_with(|| Box::pin(sleep(ROOM_CHECK_INTERVAL)));
        ready!(check.as_mut().poll(context));
        check.set(sleep(ROOM_CHECK_INTERVAL));
        Poll::Ready(())
    }

    fn end(&mut self, error: Option<RespError>) -> Poll<Option<Result<Command, RespError>>> {
        self.ended = true;
        Poll::Ready(error.map(Err))
    }
}

impl Stream for CommandReader {
    type Item = Result<Command, RespError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        if this.ended {
            return Poll::Ready(None);
        }
        loop {
            let needed = match this.decoder.parse(&this.buffer[this.parsed..]) {
                Ok(ParsedCommand::Complete(layout)) => {
                    return Poll::Ready(Some(Ok(this.take_command(&layout))))
                }
                Ok(ParsedCommand::Incomplete { needed }) => needed,
                Err(error) => return this.end(Some(error)),
            };
            match ready!(this.poll_fill(context, needed)) {
                Ok(true) => {}
                Ok(false) => {
                    let truncated = this.is_partial().then_some(RespError::Truncated);
                    return this.end(truncated);
                }
                Err(error) => return this.end(Some(error.into())),
            }
        }
    }
}
