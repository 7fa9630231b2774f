//! Text answers to operators: metrics and the list of workers. Nothing is counted here: the core counts requests when
//! they end and attempts when they are written.

use crate::core::Core;
use crate::fleet::FleetCounts;
use marbledeck_dispatcher::{Micros, WorkerState};
use marbledeck_membership::{Membership, WorkerView};
use std::fmt::Write;
use std::ops::Bound::{Excluded, Unbounded};

/// No further worker is added to an answer that is longer than this many bytes, because an answer has limited room. The
/// rest needs another call.
const MAX_MEMBERS_TEXT: usize = 120 * 1024;
/// Precedes the id of the last worker of an incomplete answer, which the call for the next page names.
pub const NEXT_MEMBERS: &str = "; next: members after ";
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Describes each worker in a line: its state, address, the reason for the state, and the status that each source
/// reports with its age in seconds. The last line has the number of workers and, if not all of them fit, the call for
/// the next page.
///
/// Starts with the first worker after the given id, or with the first one.
pub fn describe_members(now: Micros, members: &Membership, after: Option<&str>) -> String {
    let ids = members.viewed_ids();
    let from = after.map_or(Unbounded, Excluded);
    let (mut text, mut shown, mut last) = (String::new(), 0, None);
    for id in ids.range::<str, _>((from, Unbounded)) {
        if text.len() > MAX_MEMBERS_TEXT {
            break;
        }
        describe_member(&members.view(now, id), &mut text);
        (shown, last) = (shown + 1, Some(*id));
    }
    let _ = write!(text, "-- {shown} of {}", ids.len());
    match last.filter(|last| ids.last() != Some(last)) {
        Some(last) => text + NEXT_MEMBERS + last + "\n",
        None => text + "\n",
    }
}

fn describe_member(view: &WorkerView, text: &mut String) {
    let state = match view.state {
        WorkerState::Ready => "in",
        WorkerState::Draining => "out",
        WorkerState::Removed => "gone",
    };
    let address = view
        .address
        .map_or("-".to_owned(), |address| address.to_string());
    let _ = write!(text, "{} {state} {address} ({})", view.id, view.reason);
    for report in &view.reports {
        let (source, status) = (&report.source, report.status);
        let age = report.age.0 / MICROS_PER_SECOND;
        let _ = write!(text, "; {source}: {status}, {age} s");
    }
    text.push('\n');
}

/// Lists the node's counters and gauges, a name and a value per line, with `--` as the last line.
pub fn describe_metrics(core: &Core, fleet: FleetCounts) -> String {
    let mut text = String::new();
    let counts = core.counts();
    for (name, class) in core.names().class_names().zip(&counts.classes) {
        let totals = [
            ("ok", class.served),
            ("shed", class.rejected),
            ("errors", class.failed),
            ("tries", class.written),
        ];
        for (counter, total) in totals {
            let _ = writeln!(text, "node_{counter}_total{{kind={name:?}}} {total}");
        }
    }
    let gauges = [
        ("active", core.unanswered()),
        ("pool_size", fleet.listed),
        ("pool_ejected", fleet.unavailable),
    ];
    for (gauge, value) in gauges {
        let _ = writeln!(text, "node_{gauge} {value}");
    }
    text + "--\n"
}
