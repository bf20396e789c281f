//! The log lines of many entry VMs on one request, in order.
//!
//! Lines are ordered by the table service's steady clock, which every line
//! carries as its VM last knew it. The time of day is not used: it may jump.
//!
//! Invariant: a line that can't be read is counted, never dropped unsaid.

use std::fmt::Write as _;

use serde_json::{Map, Value};

/// Events about who owns; what happened between two lines on a request often
/// needs them.
const OWNERSHIP: std::ops::RangeInclusive<u64> = 340..=345;
/// Keys that every line has; the others are the event's own.
const COMMON: [&str; 5] = ["t_ms", "table_ms", "vm", "event", "what"];

/// A log line.
#[derive(Debug)]
struct Line {
    /// The table service's clock in ms; zero when the VM did not know it yet.
    at: u64,
    vm: String,
    /// Position in its file, which keeps the order of one VM's lines.
    position: usize,
    fields: Map<String, Value>,
    /// It is about the request itself.
    own: bool,
}

/// What was found.
#[derive(Debug, Default)]
pub struct Trace {
    lines: Vec<Line>,
    /// Lines that are not log lines of an entry VM.
    pub unread: usize,
}

impl Trace {
    /// Takes in one VM's log. What stands before a line's first brace is
    /// ignored, as log collectors put their own time there.
    pub fn read(&mut self, id: &str, log: &str) {
        for (position, text) in log.lines().enumerate() {
            let start = text.find('{').unwrap_or(text.len());
            let value = serde_json::from_str(&text[start..]);
            let Ok(Value::Object(fields)) = value else {
                self.unread += 1;
                continue;
            };
            let own = fields.values().any(|value| mentions(value, id));
            let event = fields.get("event").and_then(Value::as_u64);
            if own || event.is_some_and(|event| OWNERSHIP.contains(&event)) {
                self.lines.push(Line {
                    at: fields.get("table_ms").and_then(Value::as_u64).unwrap_or(0),
                    vm: text_of(fields.get("vm")),
                    position,
                    fields,
                    own,
                });
            }
        }
    }

    /// The lines in order, from the first to the last on the request; lines on
    /// the ownership in between are marked with a star.
    #[must_use]
    pub fn text(mut self) -> String {
        self.lines
            .sort_by(|a, b| (a.at, &a.vm, a.position).cmp(&(b.at, &b.vm, b.position)));
        let first = self.lines.iter().position(|line| line.own);
        let last = self.lines.iter().rposition(|line| line.own);
        let (Some(first), Some(last)) = (first, last) else {
            return String::new();
        };
        let begin = self.lines[first].at;
        let mut out = String::new();
        for line in &self.lines[first..=last] {
            write_line(line, begin, &mut out);
        }
        out
    }
}

fn mentions(value: &Value, id: &str) -> bool {
    match value {
        Value::String(text) => text.contains(id),
        Value::Array(values) => values.iter().any(|value| mentions(value, id)),
        _ => false,
    }
}

fn text_of(value: Option<&Value>) -> String {
    match value {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}

fn write_line(line: &Line, begin: u64, out: &mut String) {
    let mark = if line.own { ' ' } else { '*' };
    let after = line.at.saturating_sub(begin);
    let event = text_of(line.fields.get("event"));
    let what = text_of(line.fields.get("what"));
    // Writing to a string does not fail.
    let _ = write!(out, "{mark}{after:>8} ms {} {event} {what}", line.vm);
    let own = line.fields.iter();
    for (key, value) in own.filter(|(key, _)| !COMMON.contains(&key.as_str())) {
        let _ = write!(out, " {key}={}", text_of(Some(value)));
    }
    out.push('\n');
}
