//! `marbledeck job watch`.

use crate::args::Common;
use crate::context::{client_settings, OutputFormat};
use crate::error::CommandError;
use crate::Status;
use marbledeck_submission_client::{Client, Event};
use std::sync::mpsc::channel;
use std::time::Duration;

/// Interval at which the connection is checked while no events arrive.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Prints the events of a session, at most `count` of them.
pub(super) fn watch(
    common: &Common,
    session: &str,
    since: Option<u64>,
    count: Option<u64>,
) -> Result<Status, CommandError> {
    let format = OutputFormat::new(common);
    let (sender, events) = channel();
    // Sending fails only after this function has returned, when events are no longer needed.
    let on_event = move |event: Event| drop(sender.send(event));
    let client = Client::with_events(client_settings(common), Box::new(on_event));
    client.open_session(session, since)?;
    let mut remaining = count;
    while remaining != Some(0) {
        let Ok(event) = events.recv_timeout(CHECK_INTERVAL) else {
            // Any request reconnects if the connection was lost.
            client.sessions()?;
            continue;
        };
        format.print(&event, || format_event(&event));
        remaining = remaining.map(|remaining| remaining - 1);
    }
    client.close();
    Ok(Status::Ok)
}

/// Formats an event as one line of text.
fn format_event(event: &Event) -> String {
    match event {
        Event::NewState {
            number,
            job_id,
            job_state,
            job_sub_state,
            ..
        } => {
            let number = number.unwrap_or_default();
            let sub_state = job_sub_state.as_deref().unwrap_or_default();
            format!("{number:>8} {job_id:<28} {job_state} {sub_state}")
        }
        Event::Gap { from, to, .. } => format!("{from:>8} to {to}: events no longer stored"),
    }
}
