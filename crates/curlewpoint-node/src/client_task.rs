//! The task of one client connection: reads commands, passes them on to the engine, and closes the connection.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use curlewpoint_engine::ClientId;
use curlewpoint_link::{
    linger, next_if_ready, spawn_writer, split, ClosingReadLimit, ReadAhead, LINGER_LIMITS,
};
use curlewpoint_platform::commands::CANCEL;
use curlewpoint_platform::resp::{CommandDecoder, RespError};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout_at, Instant};
use tokio_stream::StreamExt;
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

use crate::admission::ClientActivity;
use crate::client_close::CloseReason;
use crate::clients::{ClientContext, Slot};
use crate::command_reader::{Command, CommandReader};
use crate::driver::Client;
use crate::events::Event;
use crate::memory_budget::{ClientMemory, Purpose};

/// Interval at which a silent client is checked. A client that sends no first command for twice this time, or leaves a
/// command incomplete over two checks, while none of its RPCs is open or while its memory is wanted back, is disconnected.
const SILENCE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of commands, and of their bytes, that are read from a client ahead of the engine. The count exceeds
/// the RPCs that a client may have open, so that a disconnect behind all of them is noticed.
pub(crate) const READ_AHEAD_LIMIT: (usize, usize) = (64, 32 * 1024);
/// Maximum number of words of a command.
const MAX_COMMAND_WORDS: usize = 8;

/// What a read from the connection returned.
enum Input {
    Command(Command),
    /// The client sent something that cannot be read, and what follows cannot be read either; or it left a command
    /// incomplete.
    Failed(CloseReason),
    /// The connection has ended, or is to be closed.
    Ended,
}

impl From<Option<Result<Command, RespError>>> for Input {
    fn from(next: Option<Result<Command, RespError>>) -> Input {
        match next {
            Some(Ok(words)) => Input::Command(words),
            // A client that only shut down its writing side cannot be told apart and is handled the same.
            Some(Err(RespError::Io(_))) | None => Input::Ended,
            Some(Err(error)) => Input::Failed(error.into()),
        }
    }
}

/// Bytes that a command takes of the read-ahead limit.
pub(crate) fn command_bytes(words: &[Bytes]) -> usize {
    words.iter().map(Bytes::len).sum()
}

/// Serves a client connection until it is closed by either side.
pub(crate) async fn serve_client(
    id: ClientId, stream: TcpStream, context: ClientContext, activity: Arc<ClientActivity>, slot: Slot,
) {
    let _ = stream.set_nodelay(true);
    let (read, write) = split(stream);
    let codec = CommandDecoder { max_words: MAX_COMMAND_WORDS, max_word_len: context.limits.max_frame_bytes };
    let closing = context.shutdown.child_token();
    let memory = context.memory.client();
    let mut task = ClientTask {
        id,
        context,
        activity,
        slot,
        reader: CommandReader::new(read, codec, Arc::clone(&memory)),
        memory: Arc::clone(&memory),
        closing,
        is_reading: true,
        closing_read_limit: ClosingReadLimit::default(),
        ahead: ReadAhead::new(READ_AHEAD_LIMIT),
        passed_on: 0,
        was_partial: false,
        silence_check: Instant::now() + SILENCE_INTERVAL,
        lingers: true,
    };
    // Neither an outbox nor state in the engine is allocated before the first command.
    let Some(first) = task.read_first_command().await else { return };
    task.record_activity(false);
    let (outbox, writer) = spawn_writer::<Bytes>(write, task.context.limits);
    let client =
        Client::new(outbox, writer.abort_handle(), Arc::clone(&task.activity), memory, task.closing.clone());
    if task.send_priority(Event::ClientConnected(id, client)).await.is_continue() {
        task.run(first, writer).await;
    }
}

/// The state of a client connection's task.
struct ClientTask {
    id: ClientId,
    context: ClientContext,
    activity: Arc<ClientActivity>,
    slot: Slot,
    reader: CommandReader,
    memory: Arc<ClientMemory>,
    /// Cancelled when the connection is to be closed, by the engine after an error of the client or at the shutdown.
    /// Commands already received are read and passed on first.
    closing: CancellationToken,
    /// False once nothing more is read from the client.
    is_reading: bool,
    closing_read_limit: ClosingReadLimit,
    /// Commands that were read and not passed on.
    ahead: ReadAhead<Command>,
    /// Number of commands passed on to the engine.
    passed_on: u64,
    /// A command was incomplete at the last silence check.
    was_partial: bool,
    silence_check: Instant,
    /// Whether the connection is read to its end after the last reply.
    lingers: bool,
}

impl ClientTask {
    /// Waits for the first command. Returns `None` if the connection is to be closed without one.
    async fn read_first_command(&mut self) -> Option<Command> {
        let deadline = Instant::now() + 2 * SILENCE_INTERVAL;
        let first = loop {
            tokio::select! {
                biased;
                first = timeout_at(deadline, self.reader.next()) => break first.unwrap_or_default(),
                () = self.activity.evict.notified() => {
                    let first = next_if_ready(&mut self.reader).await;
                    let despite_partial = self.activity.eviction_requested() == Some(true);
                    if first.is_some() || !self.reader.is_partial() || despite_partial {
                        break first;
                    }
                    self.record_activity(true);
                }
                () = self.closing.cancelled() => break next_if_ready(&mut self.reader).await,
            }
        };
        match first? {
            Ok(words) => Some(words),
            Err(error) => {
                info!(client = self.id.0, "malformed first command: {error}");
                self.linger().await;
                None
            }
        }
    }

    /// Reads and passes on commands until the connection is closed.
    async fn run(mut self, first: Command, mut writer: JoinHandle<std::io::Result<()>>) {
        let is_writing = self.read_until_closed(first, &mut writer).await;
        // While a connection is being closed the last commands are answered before the disconnect takes effect: they
        // went by the command channel.
        let last_tx: &mpsc::Sender<Event> = match self.closing.is_cancelled() {
            true => &self.context.command_tx,
            false => &self.context.priority_tx,
        };
        let _ = last_tx.send(Event::ClientDisconnected(self.id)).await;
        if is_writing {
            let _ = writer.await;
        }
        debug!(client = self.id.0, "closed");
        if self.lingers {
            self.linger().await;
        }
    }

    /// Returns whether the writer still runs.
    async fn read_until_closed(
        &mut self, first: Command, writer: &mut JoinHandle<std::io::Result<()>>,
    ) -> bool {
        let command_tx = self.context.command_tx.clone();
        let mut input = Some(Input::Command(first));
        loop {
            if let Some(input) = input.take() {
                if self.handle(input).await.is_break() {
                    return true;
                }
            }
            // A client that goes on sending while its connection is being closed is not read for long.
            self.is_reading &= self.closing_read_limit.may_read(self.closing.is_cancelled());
            // Reading comes before passing commands on, so that a client that disconnected meanwhile is noticed first:
            // its commands that were not passed on are dropped.
            input = tokio::select! {
                biased;
                _ = &mut *writer => return false,
                next = self.reader.next(), if self.is_reading && self.ahead.has_room() => Some(next.into()),
                // A full channel blocks this client's task only.
                permit = command_tx.reserve(), if !self.ahead.is_empty() => {
                    if self.reader.is_ended_by_peer() && !self.closing.is_cancelled() {
                        self.drop_received();
                        return true;
                    }
                    let (Ok(permit), Some(words)) = (permit, self.ahead.pop()) else { return true };
                    self.passed_on += 1;
                    permit.send(Event::ClientCommand(self.id, words));
                    None
                }
                () = self.activity.evict.notified(), if self.is_reading => self.consider_eviction().await,
                () = self.closing.cancelled(), if self.ahead.is_empty() => Some(self.read_last().await),
                () = sleep_until(self.silence_check), if self.is_reading && self.ahead.is_empty() => {
                    self.check_silence().await
                }
            };
        }
    }

    /// Drops what a client that has left sent before and was not passed on, however much of it is still unread.
    fn drop_received(&mut self) {
        self.ahead = ReadAhead::new(READ_AHEAD_LIMIT);
        self.is_reading = false;
    }

    async fn handle(&mut self, input: Input) -> ControlFlow<()> {
        match input {
            Input::Command(words) => self.command_read(words).await,
            Input::Failed(reason) => {
                self.is_reading = false;
                self.send_priority(Event::ClientFailed(self.id, reason)).await
            }
            Input::Ended => ControlFlow::Break(()),
        }
    }

    /// Queues a command, or lets a cancel go ahead of the commands that are queued.
    async fn command_read(&mut self, words: Command) -> ControlFlow<()> {
        (self.was_partial, self.silence_check) = (false, Instant::now() + SILENCE_INTERVAL);
        self.activity.command_read();
        self.record_activity(false);
        if words.first().is_none_or(|w| w != CANCEL) {
            let bytes = command_bytes(&words);
            self.ahead.push(words, bytes);
            return ControlFlow::Continue(());
        }
        if self.ahead.remove_last(|call| call.get(1) == words.get(1)).is_none() {
            return self.send_priority(Event::ClientCancel(self.id, words, self.passed_on)).await;
        }
        // The engine sees neither the call nor its cancel: both count as handled here.
        self.activity.command_handled(self.activity.open_rpcs());
        self.activity.command_handled(self.activity.open_rpcs());
        ControlFlow::Continue(())
    }

    /// Reads what has been received of a connection that is being closed, command by command.
    async fn read_last(&mut self) -> Input {
        match self.is_reading {
            true => next_if_ready(&mut self.reader).await.into(),
            false => Input::Ended,
        }
    }

    /// Closes the connection to make room, unless something is unread or owed to the client.
    async fn consider_eviction(&mut self) -> Option<Input> {
        if let Some(next) = next_if_ready(&mut self.reader).await {
            return Some(Some(next).into());
        }
        let is_partial = self.reader.is_partial();
        // Without a request the eviction was declined since by a command.
        let despite_partial = self.activity.eviction_requested()?;
        if self.activity.is_idle() && (despite_partial || !is_partial) {
            self.lingers = false;
            return Some(Input::Ended);
        }
        self.record_activity(is_partial);
        None
    }

    /// Handles a silence interval without a command.
    async fn check_silence(&mut self) -> Option<Input> {
        let is_partial = self.reader.is_partial();
        let may_close = self.activity.is_idle() || self.memory.is_wanted_back(Purpose::Received);
        if self.was_partial && is_partial && may_close {
            return Some(Input::Failed(CloseReason::Incomplete));
        }
        (self.was_partial, self.silence_check) = (is_partial, Instant::now() + SILENCE_INTERVAL);
        self.send_priority(Event::ClientSilent(self.id)).await.is_break().then_some(Input::Ended)
    }

    /// Records that the client sent a command or a part of one. If its eviction was requested it is declined, so that
    /// another client can be selected.
    fn record_activity(&self, is_partial: bool) {
        if self.activity.record(self.context.clock.now(), is_partial) {
            self.slot.eviction_declined();
        }
    }

    /// Sends an event that is processed before all commands. Breaks if the engine has ended.
    async fn send_priority(&self, event: Event) -> ControlFlow<()> {
        match self.context.priority_tx.send(event).await {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        }
    }

    async fn linger(&mut self) {
        linger(self.reader.discard(), LINGER_LIMITS.0, LINGER_LIMITS.1).await;
    }
}
