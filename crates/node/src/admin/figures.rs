//! What the node reports of itself, as lines of a name and a number. Nothing is counted here: the core counts requests
//! where they end and attempts where they are written.

use crate::core::Core;
use crate::fleet::FleetCounts;
use marbledeck_dispatcher::WorkerState;
use marbledeck_membership::WorkerView;
use std::fmt::Write;

/// Workers are described until the text has this many bytes: as much as fits an answer.
const MAX_MEMBERS_TEXT: usize = 120 * 1024;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Each worker in a line: in or out, where it is, why, and what each source reports and how many seconds ago it did.
/// The last line has how many there are.
pub fn describe_members(views: &[WorkerView]) -> String {
    let (mut text, mut shown) = (String::new(), 0);
    for view in views {
        if text.len() > MAX_MEMBERS_TEXT {
            break;
        }
        describe_member(view, &mut text);
        shown += 1;
    }
    let _ = writeln!(text, "-- {shown} of {}", views.len());
    text
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
