//! A driver that records requests and answers; the test supplies the ends of requests.

use std::collections::VecDeque;

use bytes::Bytes;
use curlewpoint::types::*;
use curlewpoint_engine::{Answer, ClientId, EngineDriver, RequestId, UpstreamRequest};

#[derive(Clone, Copy, PartialEq)]
pub enum RequestKind {
    Attempt,
    Load,
    DrainQuery,
    Probe,
}

#[derive(Default)]
pub struct RecordingDriver {
    pub sent: Vec<(Time, RequestId, WorkerId, String, RequestKind)>,
    pub answers: Vec<(u64, Answer)>,
    pub local_ends: VecDeque<(RequestId, Outcome)>,
}

impl EngineDriver for RecordingDriver {
    fn request(&mut self, now: Time, id: RequestId, worker: WorkerId, request: UpstreamRequest<'_>) {
        let (model, kind) = match request {
            UpstreamRequest::Attempt { model, .. } => (model, RequestKind::Attempt),
            UpstreamRequest::Load { model, .. } => (model, RequestKind::Load),
            UpstreamRequest::DrainQuery { model, .. } => (model, RequestKind::DrainQuery),
            UpstreamRequest::Probe => ("", RequestKind::Probe),
        };
        self.sent.push((now, id, worker, model.to_owned(), kind));
    }
    fn withdraw(&mut self, _: Time, _: RequestId) -> bool {
        false
    }
    fn answer(&mut self, _: RpcId, _: ClientId, tag: u64, answer: Answer, _: &str, _: Time, _: Bytes) {
        self.answers.push((tag, answer));
    }
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
