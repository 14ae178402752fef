//! The interface through which the scheduler acts; the program that runs a scheduler implements it.

use crate::types::{AttemptNumber, FunctionId, Hint, RpcId, Time, TimerId, WorkerId};

pub trait Host {
    /// Sends the RPC to a worker, to be answered within `limit`. Attempts of an RPC are numbered from 0. If its first
    /// byte cannot leave by `send_by`, the attempt ends as not sent.
    fn attempt(&mut self, rpc: RpcId, worker: WorkerId, limit: Time, send_by: Time);
    /// Stops waiting for an attempt; the end of the attempt is still reported.
    fn cancel(&mut self, rpc: RpcId, number: AttemptNumber);
    /// Final answer: denied, with the delay after which the client may retry (zero: no advice).
    fn deny(&mut self, rpc: RpcId, retry_after: Time);
    /// Final answer: aborted. It makes no statement about whether the RPC took effect.
    fn abort(&mut self, rpc: RpcId);
    /// Orders a worker to hold at least `copies` copies of a function; the end of the order is reported. `send_by` as
    /// for an attempt.
    fn load(&mut self, worker: WorkerId, function: FunctionId, copies: u64, send_by: Time);
    /// Asks a worker whether it drains, by an order for no copies; `Scheduler::drain_query_ended` follows. Only needed
    /// where `Scheduler::lease_list` is called. If there is a connection to the worker that was established by
    /// `established_by`, the query goes out on it, and its answer shows which process gave it.
    fn query_drain(&mut self, _worker: WorkerId, _function: FunctionId, _established_by: Time) {}
    /// Whether a connection to the worker that was established by `established_by` is still up. Its other end is the
    /// process that was listed then; at the end of a new connection there may be another one.
    fn is_connected_since(&self, _worker: WorkerId, _established_by: Time) -> bool {
        true
    }
    /// Has a worker unload its idle copies of a function; nothing is reported.
    fn unload(&mut self, worker: WorkerId, function: FunctionId);
    /// Asks a worker for a load report.
    fn probe(&mut self, worker: WorkerId);
    /// Asks for `Scheduler::timer_fired` after `delay`; a timer cannot be cancelled.
    fn set_timer(&mut self, delay: Time, id: TimerId);
    /// Subscribes to changes of the endpoint list, where the list has to be subscribed to.
    fn watch_list(&mut self);
    /// Reports what this scheduler has just observed of a function at a worker, and how many RPCs of the function the
    /// worker held, so that the host can share it with other schedulers. Does nothing where schedulers share nothing.
    fn observed(&mut self, _worker: WorkerId, _function: FunctionId, _hint: Hint, _rpcs_held: u64) {}
    /// Writes a line to the operators' log.
    fn log(&mut self, line: &str);
}
