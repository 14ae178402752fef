pub mod call;
pub mod check;
pub mod completions;
pub mod day;
pub mod describe;
pub mod fleet;
pub mod journal;
pub mod node;
pub mod serve;
pub mod soak;
pub mod stand;
pub mod trigger;

use std::future::Future;

pub const DONE: u8 = 0;
pub const FAILED: u8 = 1;
pub const AT_FAULT: u8 = 2;

/// Runs a command that needs the network.
fn block_on(work: impl Future<Output = u8>) -> u8 {
    match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => {
            let code = runtime.block_on(work);
            runtime.shutdown_background();
            code
        }
        Err(e) => fail(FAILED, &format!("no runtime: {e}")),
    }
}

/// One plain line that says what is wrong.
fn fail(code: u8, what: &str) -> u8 {
    eprintln!("curlewpoint: {what}");
    code
}
