//! Calls of one function at many schedulers, beside the play's usual load.

use std::net::SocketAddr;
use std::time::Duration;

use curlewpoint::types::Time;
use curlewpoint_lab::{NativeClient, Transcript};
use tokio::time::{sleep_until, Instant};

/// Keys of these calls have this bit set, and no others do.
pub(crate) const CALLED: u64 = 1 << 62;
/// Such a call is given up after this.
const LEFT: Time = Time(20_000);
const BODY: usize = 256;

/// Asks one scheduler for one function again and again, for so long; then waits until the scheduler has ended the connection.
pub(crate) async fn call_one(
    record: Transcript, address: impl Fn() -> SocketAddr, scheduler: &str, (method, model): (&str, &str),
    mut key: u64, every: Time, len: Time,
) {
    let (mut office, mut next) = (None::<NativeClient>, Instant::now());
    let (every, until) =
        (Duration::from_micros(every.0.max(1) * 100), next + Duration::from_micros(len.0 * 100));
    while next < until {
        if office.as_ref().is_none_or(NativeClient::is_closed) {
            office = NativeClient::open(&address().to_string(), scheduler, &record).await.ok();
        }
        if let Some(up) = &office {
            key += 1;
            up.send_rpc(key, method, model, "", LEFT, BODY);
        }
        next += every;
        sleep_until(next).await;
    }
    if let Some(up) = office {
        up.wait_closed().await;
    }
}
