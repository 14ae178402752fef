use tracing_subscriber::EnvFilter;

/// Sends log lines to standard error, at this level or what `CURLEWPOINT_LOG` says.
pub fn start(level: &str, json: bool) {
    let filter = EnvFilter::try_from_env("CURLEWPOINT_LOG").unwrap_or_else(|_| EnvFilter::new(level));
    let lines =
        tracing_subscriber::fmt().with_env_filter(filter).with_target(false).with_writer(std::io::stderr);
    if json {
        lines.json().flatten_event(true).init();
    } else {
        lines.init();
    }
}
