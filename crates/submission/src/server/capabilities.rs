//! The answers to `getCapabilities` and `getDrmsInfo`.

use crate::limits::Limits;
use crate::template::{SUPPORTED, UNSUPPORTED};
use serde_json::{json, Value};

/// The supported and unsupported features, named as in GFD.231, section 4.5, the template attributes and the limits.
pub(super) fn capabilities(limits: &Limits) -> Value {
    json!({
        "capabilities": {
            "ADVANCE_RESERVATION": false,
            "RESERVE_SLOTS": false,
            "CALLBACK": true,
            "BULK_JOBS_MAXPARALLEL": true,
            "JT_EMAIL": false,
            "JT_STAGING": false,
            "JT_DEADLINE": true,
            "JT_MAXSLOTS": false,
            "JT_ACCOUNTINGID": true,
            "RT_STARTNOW": false,
            "RT_DURATION": false,
            "RT_MACHINEOS": false,
            "RT_MACHINEARCH": false,
            "HOLD_QUEUED": true,
            "HOLD_SENT": false,
            "SUSPEND": false,
        },
        "jobTemplateAttributes": SUPPORTED,
        "unsupportedAttributes": UNSUPPORTED,
        "jobInfoAttributes": [
            "jobId", "jobName", "jobState", "jobSubState", "queueName", "accountingId", "session", "jobArrayId",
            "index", "machine", "submissionTimeMs", "dispatchTimeMs", "finishTimeMs", "duplicates", "result",
            "resultBase64", "error", "message", "retryAfterMs",
        ],
        "limits": {
            "maxJobs": limits.max_jobs,
            "maxBulk": limits.max_bulk,
            "maxSessions": limits.max_sessions,
            "history": limits.max_session_events,
            "retainMs": limits.retention.0 / 1000,
            "holdMs": limits.max_hold.0 / 1000,
        },
    })
}

/// The names and versions of the DRM system and of its DRMAA interface.
pub(super) fn drms_info() -> Value {
    json!({
        "drmsName": "marbledeck",
        "drmsVersion": env!("CARGO_PKG_VERSION"),
        "drmaaName": "marbledeck submission",
        "drmaaVersion": "2.0",
    })
}
