use std::io::{Read, Write};

use bytes::Bytes;
use clap::Args;
use curlewpoint::types::Time;
use curlewpoint_engine::Answer;
use curlewpoint_lab::{call, CallOutcome};

use super::{block_on, fail, BAD_INPUT, SUCCESS};

pub(super) const DENIED: u8 = 3;
pub(super) const ABORTED: u8 = 4;
pub(super) const NO_ANSWER: u8 = 5;

/// Calls a method of a scheduler once and prints the answer.
#[derive(Args)]
pub struct Call {
    /// The scheduler's address, for example 127.0.0.1:7000.
    address: String,
    /// The method to call.
    method: String,
    /// The model that the method runs on.
    model: String,
    /// The time left for the answer.
    #[arg(long = "left", value_name = "LEFT", default_value = "5s")]
    time_left: String,
    /// The calling tenant.
    #[arg(long, default_value = "")]
    tenant: String,
    /// The idempotency token, for tokened methods.
    #[arg(long)]
    token: Option<String>,
    /// The request body; `-` reads it from standard input.
    #[arg(long, default_value = "")]
    body: String,
}

impl Call {
    pub fn run(self) -> u8 {
        let time_left = match curlewpoint_config::milliseconds(&self.time_left) {
            Ok(ms) => Time::from_ms(ms),
            Err(reason) => return fail(BAD_INPUT, &reason),
        };
        let mut body = self.body.into_bytes();
        if body == b"-" {
            body.clear();
            if let Err(e) = std::io::stdin().read_to_end(&mut body) {
                return fail(BAD_INPUT, &format!("standard input: {e}"));
            }
        }
        let token = self.token.as_deref();
        let outcome = block_on_value(call(
            &self.address,
            &self.method,
            &self.model,
            &self.tenant,
            time_left,
            token,
            Bytes::from(body),
        ));
        match outcome {
            Ok(CallOutcome::Final { answer: Answer::Ok, body, .. }) => {
                let _ = std::io::stdout().write_all(&body);
                SUCCESS
            }
            Ok(CallOutcome::Final { answer, rpc, reason, retry_after, .. }) => {
                let retry_hint = if retry_after > Time(0) {
                    format!(", retry in {} ms", retry_after.ms())
                } else {
                    String::new()
                };
                let code = if answer == Answer::Denied { DENIED } else { ABORTED };
                fail(code, &format!("{answer:?} ({rpc}): {reason}{retry_hint}"))
            }
            Ok(CallOutcome::Refused(reason)) => {
                fail(NO_ANSWER, &format!("refused before it was accepted: {reason}"))
            }
            Ok(CallOutcome::NoAnswer) => fail(NO_ANSWER, "no answer received"),
            Err(error) => fail(NO_ANSWER, &error.to_string()),
        }
    }
}

/// Runs a future on a multi-threaded runtime and returns its value.
pub(super) fn block_on_value<T>(future: impl std::future::Future<Output = T>) -> T {
    let mut value = None;
    block_on(async {
        value = Some(future.await);
        SUCCESS
    });
    value.expect("the future has completed")
}
