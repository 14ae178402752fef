//! When a scheduler counts as notified of a change of the endpoint list, by the platform's rules.

use curlewpoint::list_lease::ListLeaseTerms;
use curlewpoint::types::Time;
use serde_json::{Map, Value};

/// A change counts as notified 1.5 s after it was made.
const NOTIFIED_WITHIN: Time = Time(15_000);
/// The drain grace where the settings state none, in milliseconds.
const DEFAULT_DRAIN_GRACE_MS: f64 = 500.0;
/// The list in the startup configuration may have been made this long before the start.
pub const MAX_STARTUP_LIST_AGE: Time = Time(10_000);

/// The terms on which an endpoint list may be acted on, under these settings.
pub fn list_lease_terms(settings: &Map<String, Value>) -> ListLeaseTerms {
    let stated = settings.get("contract").and_then(|c| c.get("drainGrace")).and_then(Value::as_f64);
    let grace_ms = stated.filter(|ms| *ms > 0.0).unwrap_or(DEFAULT_DRAIN_GRACE_MS);
    ListLeaseTerms {
        notified_within: NOTIFIED_WITHIN,
        drain_grace: Time::from_ms(grace_ms),
        workers_answer: settings.get("familyInfo").and_then(|f| f.get("mayOrder"))
            == Some(&Value::Bool(true)),
    }
}
