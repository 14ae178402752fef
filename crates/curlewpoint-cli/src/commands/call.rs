use std::io::{Read, Write};

use bytes::Bytes;
use clap::Args;
use curlewpoint::types::Time;
use curlewpoint_engine::Answer;
use curlewpoint_lab::{call, CallOutcome};

use super::{block_on, fail, AT_FAULT, DONE};

pub(super) const DENIED: u8 = 3;
pub(super) const ABORTED: u8 = 4;
pub(super) const NOTHING: u8 = 5;

/// Calls a method of a scheduler once and prints the answer.
#[derive(Args)]
pub struct Call {
    /// The scheduler's address, as 127.0.0.1:7000.
    address: String,
    /// The method.
    method: String,
    /// The model that it runs on.
    model: String,
    /// The time left for the answer.
    #[arg(long, default_value = "5s")]
    left: String,
    /// The tenant that asks.
    #[arg(long, default_value = "")]
    tenant: String,
    /// For tokened methods: the mark by which a repeat is known.
    #[arg(long)]
    token: Option<String>,
    /// The body; `-` reads it from standard input.
    #[arg(long, default_value = "")]
    body: String,
}

impl Call {
    pub fn run(self) -> u8 {
        let left = match curlewpoint_config::milliseconds(&self.left) {
            Ok(ms) => Time::from_ms(ms),
            Err(why) => return fail(AT_FAULT, &why),
        };
        let mut body = self.body.into_bytes();
        if body == b"-" {
            body.clear();
            if let Err(e) = std::io::stdin().read_to_end(&mut body) {
                return fail(AT_FAULT, &format!("standard input: {e}"));
            }
        }
        let token = self.token.as_deref();
        let called = block_on_value(call(
            &self.address,
            &self.method,
            &self.model,
            &self.tenant,
            left,
            token,
            Bytes::from(body),
        ));
        match called {
            Ok(CallOutcome::Final { answer: Answer::Ok, body, .. }) => {
                let _ = std::io::stdout().write_all(&body);
                DONE
            }
            Ok(CallOutcome::Final { answer, rpc, reason: why, retry_after, .. }) => {
                let back = if retry_after > Time(0) {
                    format!(", come back in {} ms", retry_after.ms())
                } else {
                    String::new()
                };
                let code = if answer == Answer::Denied { DENIED } else { ABORTED };
                fail(code, &format!("{answer:?} ({rpc}): {why}{back}"))
            }
            Ok(CallOutcome::Refused(why)) => fail(NOTHING, &format!("refused, nothing was taken: {why}")),
            Ok(CallOutcome::NoAnswer) => fail(NOTHING, "no answer came"),
            Err(why) => fail(NOTHING, &why.to_string()),
        }
    }
}

pub(super) fn block_on_value<T>(work: impl std::future::Future<Output = T>) -> T {
    let mut value = None;
    block_on(async {
        value = Some(work.await);
        DONE
    });
    value.expect("the work has ended")
}
