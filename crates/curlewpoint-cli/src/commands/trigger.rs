use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use clap::Args;
use curlewpoint::types::Time;
use curlewpoint_lab::{trigger, TriggerRequest};

use super::call::{block_on_value, ABORTED, DENIED, NO_ANSWER};
use super::{fail, BAD_INPUT, SUCCESS};

/// Publishes one message to a method's queue at a broker and prints the answer.
#[derive(Args)]
pub struct Trigger {
    /// The broker's address, for example 127.0.0.1:5672.
    address: String,
    /// The method to call; its queue is curlewpoint.METHOD.
    method: String,
    /// The model that the method runs on.
    model: String,
    /// The queue for the answer; it must exist.
    #[arg(long)]
    reply_to: String,
    /// The message id; generated from the clock if absent.
    #[arg(long)]
    id: Option<String>,
    /// The time left for the answer.
    #[arg(long = "left", value_name = "LEFT", default_value = "5s")]
    time_left: String,
    /// The calling tenant.
    #[arg(long, default_value = "")]
    tenant: String,
    /// The user name at the broker.
    #[arg(long, default_value = "guest")]
    user: String,
    /// The password at the broker.
    #[arg(long, default_value = "guest")]
    password: String,
    /// The message body.
    #[arg(long, default_value = "")]
    body: String,
}

impl Trigger {
    pub fn run(self) -> u8 {
        let time_left = match curlewpoint_config::milliseconds(&self.time_left) {
            Ok(ms) => Time::from_ms(ms),
            Err(reason) => return fail(BAD_INPUT, &reason),
        };
        let generated_id = || {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            format!("{:x}-{:x}", now.as_nanos(), std::process::id())
        };
        let (id, body) = (self.id.unwrap_or_else(generated_id), Bytes::from(self.body));
        let (method, model, tenant, reply_to) = (self.method, self.model, self.tenant, self.reply_to);
        let request = TriggerRequest { method, model, tenant, id, reply_to, time_left, body };
        match block_on_value(trigger(&self.address, &self.user, &self.password, &request)) {
            Ok(Some(reply)) if reply.answer == "ok" => {
                let _ = std::io::stdout().write_all(&reply.body);
                SUCCESS
            }
            Ok(Some(reply)) => {
                let code = if reply.answer == "denied" { DENIED } else { ABORTED };
                fail(code, &format!("{} ({}): {}", reply.answer, request.id, reply.reason))
            }
            Ok(None) => fail(NO_ANSWER, "no answer received"),
            Err(error) => fail(NO_ANSWER, &error.to_string()),
        }
    }
}
