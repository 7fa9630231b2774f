//! What the node reports of itself, as lines of a name and a number. Nothing is counted here: the core counts requests
//! where they end and attempts where they are written.

use crate::core::Core;
use crate::fleet::FleetCounts;
use marbledeck_dispatcher::{Micros, WorkerState};
use marbledeck_membership::{Membership, WorkerView};
use std::fmt::Write;
use std::ops::Bound::{Excluded, Unbounded};

/// Workers are described until the text has this many bytes: as much as fits an answer. The rest is asked for anew.
const MAX_MEMBERS_TEXT: usize = 120 * 1024;
/// Stands before the last worker of an answer that is not the last one: the call for the next ones names it.
pub const NEXT_MEMBERS: &str = "; next: members after ";
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Each worker in a line: in or out, where it is, why, and what each source reports and how many seconds ago it did.
/// The last line has how many there are, and how to ask for the next ones where they are more than fit an answer.
///
/// Begins with the first worker after this id, or with the first of all.
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

/// The node's counters and gauges, and the line that ends them.
pub fn describe_figures(core: &Core, fleet: FleetCounts) -> String {
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
        ("pool_ejected", fleet.avoided),
    ];
    for (gauge, value) in gauges {
        let _ = writeln!(text, "node_{gauge} {value}");
    }
    text + "--\n"
}
