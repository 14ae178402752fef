//! What an open RPC costs the engine: memory beyond its body, and time for an RPC beside many that are open.

use std::collections::VecDeque;
use std::time::Instant;

use bytes::Bytes;
use curlewpoint::types::*;
use curlewpoint_engine::{Answer, ClientId, Engine, EngineDriver, RequestId, UpstreamRequest};
use serde_json::json;

/// Keeps the last attempt, and ends nothing by itself.
#[derive(Default)]
struct Quiet {
    last: Option<RequestId>,
    ended: VecDeque<(RequestId, Outcome)>,
}

impl EngineDriver for Quiet {
    fn request(&mut self, _: Time, id: RequestId, _: WorkerId, request: UpstreamRequest<'_>) {
        if let UpstreamRequest::Attempt { .. } = request {
            self.last = Some(id);
        }
    }
    fn withdraw(&mut self, _: Time, _: RequestId) -> bool {
        false
    }
    fn answer(&mut self, _: RpcId, _: ClientId, _: u64, _: Answer, _: &str, _: Time, _: Bytes) {}
    fn next_local_end(&mut self) -> Option<(RequestId, Outcome)> {
        self.ended.pop_front()
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

fn resident() -> usize {
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
        let mut engine = Engine::start(now, Quiet::default(), 1, settings);
        engine.list_begins(1, 1, None);
        for no in 0..87 {
            engine.list_row(now, &format!("w{no}"), "x", Lifecycle::Ready, 1, None, "", "", 1.0);
        }
        engine.list_ends(now);
        let body = Bytes::from_static(&[7; 256]);
        let before = resident();
        let ask = |engine: &mut Engine<Quiet>, now, tag: u64| {
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
        let taken = (0..open).filter(|tag| ask(&mut engine, now, *tag).is_ok()).count();
        let held = resident().saturating_sub(before);
        const MORE: u64 = 20_000;
        let began = Instant::now();
        let mut answered = 0;
        for tag in open..open + MORE {
            now = now + Time(1);
            engine.advance(now);
            engine.driver().last = None;
            let _ = ask(&mut engine, now, tag);
            if let Some(out) = engine.driver().last {
                answered += 1;
                engine.request_ended(now, out, Outcome::Ok, CopyReport::Warm, 0, 0, Vec::new(), Bytes::new());
            }
        }
        let us = began.elapsed().as_secs_f64() * 1e6 / MORE as f64;
        let each = held.checked_div(taken).unwrap_or(0);
        println!(
            "{open} asked, {taken} taken, {} open after; {each} bytes each; {us:.1} us an RPC beside them, {answered} of {MORE} called out at once",
            engine.open_rpcs()
        );
    }
}
