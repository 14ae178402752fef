//! The cost of open RPCs: memory per RPC beyond its body, and the time for a further RPC while many are open.

use std::collections::VecDeque;
use std::time::Instant;

use bytes::Bytes;
use curlewpoint::types::*;
use curlewpoint_engine::{Answer, ClientId, Engine, EngineDriver, RequestId, UpstreamRequest};
use serde_json::json;

/// A driver that records the last attempt and ends no request by itself.
#[derive(Default)]
struct NullDriver {
    last_attempt: Option<RequestId>,
    local_ends: VecDeque<(RequestId, Outcome)>,
}

impl EngineDriver for NullDriver {
    fn request(&mut self, _: Time, id: RequestId, _: WorkerId, request: UpstreamRequest<'_>) {
        if let UpstreamRequest::Attempt { .. } = request {
            self.last_attempt = Some(id);
        }
    }
    fn withdraw(&mut self, _: Time, _: RequestId) -> bool {
        false
    }
    fn answer(&mut self, _: RpcId, _: ClientId, _: u64, _: Answer, _: &str, _: Time, _: Bytes) {}
    fn next_local_end(&mut self) -> Option<(RequestId, Outcome)> {
        self.local_ends.pop_front()
    }
    fn unload(&mut self, _: Time, _: WorkerId, _: &str) {}
    fn watch_list(&mut self, _: Option<(u64, u64)>) {}
    fn set_worker_address(&mut self, _: Time, _: WorkerId, _: &str, _: &str, _: Time) {}
    fn worker_draining(&mut self, _: Time, _: WorkerId) {}
    fn worker_gone(&mut self, _: Time, _: WorkerId) {}
    fn rpc_accepted(&mut self, _: RpcId) {}
    fn rpc_forgotten(&mut self, _: RpcId) {}
    fn log(&mut self, _: Option<RpcId>, _: &str) {}
}

/// The resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    pages.split(' ').nth(1).and_then(|n| n.parse::<usize>().ok()).unwrap_or(0) * 4096
}

fn main() {
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    for open in [0u64, 1_000, 10_000, 50_000] {
        let method = json!({"name": "read", "effect": "read_like", "group": "all", "aim": 60_000.0, "giveUp": 600_000.0, "lanes": 64.0});
        let settings = json!({
            "instances": 1, "requestClasses": [method],
            "familyInfo": {"keepAlive": 8000.0, "mayOrder": true, "whenAbsent": "load"},
            "limits": {"maxOpen": 100_000, "mayCancel": true},
        });
        let settings = settings.as_object().expect("an object").clone();
        let mut now = Time(1_000_000);
        let mut engine = Engine::start(now, NullDriver::default(), 1, settings);
        engine.list_begin_received(1, 1, None);
        for index in 0..87 {
            engine.list_entry_received(
                now,
                &format!("w{index}"),
                "addr",
                Lifecycle::Ready,
                1,
                None,
                "",
                "",
                1.0,
            );
        }
        engine.list_end_received(now);
        let body = Bytes::from_static(&[7; 256]);
        let before = resident_bytes();
        let submit = |engine: &mut Engine<NullDriver>, now, tag: u64| {
            let model = format!("model-{}", tag % 100);
            engine.submit_rpc(
                now,
                (ClientId(1), tag),
                "read",
                &model,
                "",
                Time(5_000_000),
                None,
                None,
                body.clone(),
            )
        };
        let accepted = (0..open).filter(|tag| submit(&mut engine, now, *tag).is_ok()).count();
        let bytes = resident_bytes().saturating_sub(before);
        const FURTHER_RPCS: u64 = 20_000;
        let started = Instant::now();
        let mut answered = 0;
        for tag in open..open + FURTHER_RPCS {
            now = now + Time(1);
            engine.advance(now);
            engine.driver().last_attempt = None;
            let _ = submit(&mut engine, now, tag);
            if let Some(attempt) = engine.driver().last_attempt {
                answered += 1;
                engine.request_ended(
                    now,
                    attempt,
                    Outcome::Ok,
                    CopyReport::Warm,
                    0,
                    0,
                    Vec::new(),
                    Bytes::new(),
                );
            }
        }
        let us = started.elapsed().as_secs_f64() * 1e6 / FURTHER_RPCS as f64;
        let bytes_each = bytes.checked_div(accepted).unwrap_or(0);
        println!(
            "{open} submitted, {accepted} accepted, {} open afterwards; {bytes_each} bytes each; {us:.1} us per further RPC, {answered} of {FURTHER_RPCS} sent at once",
            engine.open_rpcs()
        );
    }
}
