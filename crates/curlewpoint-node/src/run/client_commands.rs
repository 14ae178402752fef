//! Commands of clients: accepts, rejects and cancels calls, and closes connections after an error.

use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_engine::{ClientId, Refusal};
use curlewpoint_platform::commands;
use tracing::{debug, info};

use super::EventLoop;
use crate::call::{Call, Rejection};
use crate::client_close::CloseReason;

/// Maximum number of open RPCs on a client connection.
const MAX_OPEN_RPCS_PER_CLIENT: usize = 32;
/// Maximum number of separate runs of used tags that are remembered for a client connection.
const MAX_TAG_RUNS: usize = 256;
/// Maximum number of tags that are remembered as cancelled before their call, on a client connection.
const MAX_CANCELLED_TAGS: usize = 256;
/// A client is disconnected after this many calls that do not keep to the protocol.
const MAX_MALFORMED_CALLS: u32 = 8;

/// A word of a command, or an empty one if there are fewer.
fn word(words: &[Bytes], index: usize) -> &[u8] {
    words.get(index).map_or(&b""[..], |word| word)
}

impl EventLoop {
    /// Concludes the handling of a client's command. After an error the connection is closed.
    pub(super) fn command_handled(&mut self, now: Time, id: ClientId, result: Result<(), CloseReason>) {
        if let Err(reason) = result {
            self.close_client(now, id, &reason);
        }
        if let Some(client) = self.engine.driver().clients.get(&id) {
            client.activity.command_handled(client.open.len());
        }
    }

    /// Handles a command other than a cancel. After an error the connection is to be closed.
    pub(super) fn client_command(
        &mut self, now: Time, id: ClientId, words: &[Bytes],
    ) -> Result<(), CloseReason> {
        let Some(client) = self.engine.driver().clients.get_mut(&id) else { return Ok(()) };
        client.silent_intervals = 0;
        let (command, tag_word) = (word(words, 0), word(words, 1));
        let tag = commands::parse_tag(tag_word);
        let is_cancelled = client.overtaking_cancels.process(tag);
        if !commands::is_tag(tag_word) {
            return Err(CloseReason::InvalidTag);
        }
        match (command, tag) {
            (commands::CALL, Some(tag)) => self.client_call(now, id, tag, words, is_cancelled),
            (commands::CALL, None) => {
                debug!(client = id.0, "call rejected: unsupported: tag of over 64 bits");
                self.engine.count_refused();
                self.engine.driver().reply_to_tag(id, tag_word, commands::BROKEN, "", b"");
                Ok(())
            }
            (commands::CHECK, _) if is_cancelled => Ok(()),
            (commands::CHECK, _) => {
                self.client_check(id, tag_word);
                Ok(())
            }
            _ => Err(CloseReason::UnknownCommand),
        }
    }

    fn client_call(
        &mut self, now: Time, id: ClientId, tag: u64, words: &[Bytes], is_cancelled: bool,
    ) -> Result<(), CloseReason> {
        let Some(client) = self.engine.driver().clients.get_mut(&id) else { return Ok(()) };
        if client.open.contains(&tag) {
            // A second reply with this tag would be taken for that of the open RPC.
            return Err(CloseReason::TagReused(tag));
        }
        let is_new = client.tags.insert(tag, MAX_TAG_RUNS);
        if client.cancelled.remove(&tag) || is_cancelled {
            return Ok(());
        }
        if client.is_closing || !is_new {
            self.engine.count_refused();
            self.engine.driver().reply(id, tag, commands::REFUSED, "", b"");
            return if is_new { Ok(()) } else { Err(CloseReason::TagReused(tag)) };
        }
        if client.open.len() >= MAX_OPEN_RPCS_PER_CLIENT {
            self.engine.count_refused();
            self.engine.driver().reply(id, tag, commands::ENOUGH, "", b"");
            return Ok(());
        }
        let body = words.get(4).cloned().unwrap_or_default();
        let call = Call::parse(word(words, 2), word(words, 3));
        let submitted = call.and_then(|call| self.submit_call(now, id, tag, &call, body));
        submitted.or_else(|rejection| self.reject_call(id, tag, &rejection))
    }

    fn client_check(&mut self, id: ClientId, tag_word: &[u8]) {
        let status = if self.stop_requested.is_some() { commands::UNFIT } else { commands::FIT };
        if !std::mem::replace(&mut self.health_check_logged, true) {
            let after = self.started.elapsed().as_millis() as u64;
            info!(after, "first health check answered '{status}', milliseconds from the start");
        }
        self.engine.driver().reply_to_tag(id, tag_word, status, "", b"");
    }

    /// Handles a cancel. Its call may be open, answered, still queued among the `passed_on` commands, as cancels overtake
    /// calls, or not sent yet. After an error the client is to be disconnected.
    pub(super) fn client_cancel(
        &mut self, now: Time, id: ClientId, words: &[Bytes], passed_on: u64,
    ) -> Result<(), CloseReason> {
        let Some(client) = self.engine.driver().clients.get_mut(&id) else { return Ok(()) };
        client.silent_intervals = 0;
        if !commands::is_tag(word(words, 1)) {
            return Err(CloseReason::InvalidTag);
        }
        let Some(tag) = commands::parse_tag(word(words, 1)) else { return Ok(()) };
        if !client.open.contains(&tag) {
            client.overtaking_cancels.record(tag, passed_on);
            if !client.tags.contains(tag) && client.cancelled.insert(tag) {
                client.forget_cancelled(MAX_CANCELLED_TAGS);
            }
            return Ok(());
        }
        self.engine.driver().withdrawn = Some((id, tag));
        self.engine.cancel(now, id, tag);
        self.engine.driver().withdrawn = None;
        Ok(())
    }

    /// Replies to a call that was not accepted. A client that repeatedly sends malformed calls is disconnected.
    fn reject_call(&mut self, id: ClientId, tag: u64, rejection: &Rejection) -> Result<(), CloseReason> {
        debug!(client = id.0, tag, "call rejected: {rejection}");
        let driver = self.engine.driver();
        driver.reply(id, tag, rejection.status(), "", b"");
        let Rejection::Malformed(_) = rejection else { return Ok(()) };
        let Some(client) = driver.clients.get_mut(&id) else { return Ok(()) };
        client.malformed_calls += 1;
        match client.malformed_calls >= MAX_MALFORMED_CALLS {
            true => Err(CloseReason::MalformedCalls),
            false => Ok(()),
        }
    }

    /// Hands a call to the engine.
    fn submit_call(
        &mut self, now: Time, id: ClientId, tag: u64, call: &Call<'_>, body: Bytes,
    ) -> Result<(), Rejection> {
        let driver = self.engine.driver();
        if driver.is_known_id(call.id) {
            return Err(Rejection::Malformed("ID already in use"));
        }
        let Some(body) = driver.count_call(id, &body, self.memory.limits().per_rpc) else {
            self.engine.count_refused();
            return Err(Rejection::Refused(Refusal::Full));
        };
        driver.next_rpc_id = call.id.into();
        driver.clients.get_mut(&id).into_iter().for_each(|c| c.open.extend([tag]));
        let time_left = call.time_left - self.stalls.possible_delay(now);
        let accepted = self.engine.submit_rpc(
            now,
            (id, tag),
            call.method,
            call.model,
            call.tenant,
            time_left,
            call.token,
            call.lanes,
            body,
        );
        accepted.map(drop).map_err(|refusal| {
            let client = self.engine.driver().clients.get_mut(&id);
            client.into_iter().for_each(|c| c.open.retain(|t| *t != tag));
            refusal.into()
        })
    }

    /// Begins to close a connection after an error of its client: ends the open RPCs with a reply each, and has the
    /// client's task pass on the commands that it has received, of which calls are refused. The task then disconnects.
    pub(super) fn close_client(&mut self, now: Time, id: ClientId, reason: &CloseReason) {
        let Some(client) = self.engine.driver().clients.get_mut(&id) else { return };
        if std::mem::replace(&mut client.is_closing, true) {
            return;
        }
        let (open, unhandled) = (client.open.len(), client.activity.unhandled());
        client.closing.cancel();
        self.client_closes.record(id, reason, open, unhandled);
        self.engine.abort_client(now, id);
    }
}
