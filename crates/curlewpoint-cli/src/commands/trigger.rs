use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use clap::Args;
use curlewpoint::types::Time;
use curlewpoint_lab::{trigger, TriggerRequest};

use super::call::{block_on_value, ABORTED, DENIED, NOTHING};
use super::{fail, AT_FAULT, DONE};

/// Puts one message into a method's queue at a broker, and prints its answer.
#[derive(Args)]
pub struct Trigger {
    /// The broker's address, as 127.0.0.1:5672.
    address: String,
    /// The method; its queue is curlewpoint.METHOD.
    method: String,
    /// The model that it runs on.
    model: String,
    /// The queue for the answer; it has to be there.
    #[arg(long)]
    reply_to: String,
    /// What the message is known by; absent: drawn from the clock.
    #[arg(long)]
    id: Option<String>,
    /// The time left for the answer.
    #[arg(long, default_value = "5s")]
    left: String,
    /// The tenant that asks.
    #[arg(long, default_value = "")]
    tenant: String,
    #[arg(long, default_value = "guest")]
    user: String,
    #[arg(long, default_value = "guest")]
    password: String,
    /// The body.
    #[arg(long, default_value = "")]
    body: String,
}

impl Trigger {
    pub fn run(self) -> u8 {
        let left = match curlewpoint_config::milliseconds(&self.left) {
            Ok(ms) => Time::from_ms(ms),
            Err(why) => return fail(AT_FAULT, &why),
        };
        let drawn = || {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            format!("{:x}-{:x}", now.as_nanos(), std::process::id())
        };
        let (id, body) = (self.id.unwrap_or_else(drawn), Bytes::from(self.body));
        let (method, model, tenant, reply_to) = (self.method, self.model, self.tenant, self.reply_to);
        let ask = TriggerRequest { method, model, tenant, id, reply_to, time_left: left, body };
        match block_on_value(trigger(&self.address, &self.user, &self.password, &ask)) {
            Ok(Some(told)) if told.answer == "ok" => {
                let _ = std::io::stdout().write_all(&told.body);
                DONE
            }
            Ok(Some(told)) => {
                let code = if told.answer == "denied" { DENIED } else { ABORTED };
                fail(code, &format!("{} ({}): {}", told.answer, ask.id, told.reason))
            }
            Ok(None) => fail(NOTHING, "no answer came"),
            Err(why) => fail(NOTHING, &why.to_string()),
        }
    }
}
