pub mod call;
pub mod check;
pub mod completions;
pub mod describe;
pub mod fleet;
pub mod journal;
pub mod node;
pub mod scenario;
pub mod serve;
pub mod soak;
pub mod test_servers;
pub mod trigger;

use std::future::Future;

// Exit codes.
pub const SUCCESS: u8 = 0;
pub const FAILED: u8 = 1;
pub const BAD_INPUT: u8 = 2;

/// Runs a command on a multi-threaded runtime and returns its exit code.
fn block_on(command: impl Future<Output = u8>) -> u8 {
    match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => {
            let code = runtime.block_on(command);
            runtime.shutdown_background();
            code
        }
        Err(e) => fail(FAILED, &format!("cannot start the async runtime: {e}")),
    }
}

/// Prints an error to standard error and returns the exit code.
fn fail(code: u8, message: &str) -> u8 {
    eprintln!("curlewpoint: {message}");
    code
}
