use tracing_subscriber::EnvFilter;

/// Logs to standard error at this level, or with the filter in `CURLEWPOINT_LOG` if set.
pub fn start(level: &str, json: bool) {
    let filter = EnvFilter::try_from_env("CURLEWPOINT_LOG").unwrap_or_else(|_| EnvFilter::new(level));
    let subscriber =
        tracing_subscriber::fmt().with_env_filter(filter).with_target(false).with_writer(std::io::stderr);
    if json {
        subscriber.json().flatten_event(true).init();
    } else {
        subscriber.init();
    }
}
