//! Repeated calls of one function at many schedulers, in addition to the scenario's load.

use std::net::SocketAddr;
use std::time::Duration;

use curlewpoint::types::Time;
use curlewpoint_lab::{NativeClient, Transcript};
use tokio::time::{sleep_until, Instant};

/// Bit set in the keys of these calls only.
pub(crate) const CALL_KEY_BIT: u64 = 1 << 62;
/// Time left given to each call.
const CALL_TIME_LEFT: Time = Time(20_000);
const BODY_BYTES: usize = 256;

/// Calls one function at one scheduler every `every` for `duration`, then waits until the scheduler closes the connection.
pub(crate) async fn call_repeatedly(
    record: Transcript, address: impl Fn() -> SocketAddr, scheduler: &str, (method, model): (&str, &str),
    mut key: u64, every: Time, duration: Time,
) {
    let (mut client, mut next_call) = (None::<NativeClient>, Instant::now());
    let (every, until) =
        (Duration::from_micros(every.0.max(1) * 100), next_call + Duration::from_micros(duration.0 * 100));
    while next_call < until {
        if client.as_ref().is_none_or(NativeClient::is_closed) {
            client = NativeClient::open(&address().to_string(), scheduler, &record).await.ok();
        }
        if let Some(connected) = &client {
            key += 1;
            connected.send_rpc(key, method, model, "", CALL_TIME_LEFT, BODY_BYTES);
        }
        next_call += every;
        sleep_until(next_call).await;
    }
    if let Some(connected) = client {
        connected.wait_closed().await;
    }
}
