//! What the decision module can do in the world: whoever runs it implements this.

use crate::types::{AttemptNumber, FunctionId, Hint, RpcId, Time, TimerId, WorkerId};

pub trait Host {
    /// Sends the RPC to a worker, to be answered within `limit`. Attempts of an RPC count from 0.
    fn attempt(&mut self, rpc: RpcId, worker: WorkerId, limit: Time);
    /// Ends the wait for an attempt; its end is still reported.
    fn cancel(&mut self, rpc: RpcId, no: AttemptNumber);
    /// Final answer: denied, and when to come back (nought: no advice).
    fn deny(&mut self, rpc: RpcId, retry_after: Time);
    /// Final answer: aborted; it promises nothing about the effect.
    fn abort(&mut self, rpc: RpcId);
    /// Orders a worker to hold at least so many copies; the end is reported.
    fn load(&mut self, worker: WorkerId, function: FunctionId, copies: u64);
    /// Has a worker's idle copies unloaded; nothing is reported.
    fn unload(&mut self, worker: WorkerId, function: FunctionId);
    /// Asks a worker for a load report.
    fn probe(&mut self, worker: WorkerId);
    /// Asks for a wake-up after `delay`; it cannot be taken back.
    fn set_timer(&mut self, delay: Time, id: TimerId);
    /// Asks for changes of the list of workers from now on, where they have to be asked for.
    fn watch_list(&mut self);
    /// What I have seen just now of a function at a worker, and how many RPCs of it were there; other schedulers may be
    /// told. Where schedulers share nothing it goes nowhere.
    fn observed(&mut self, _worker: WorkerId, _function: FunctionId, _hint: Hint, _held: u64) {}
    /// Adds a line to the operators' log.
    fn log(&mut self, line: &str);
}
