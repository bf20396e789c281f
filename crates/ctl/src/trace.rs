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
const OWNERSHIP_EVENTS: std::ops::RangeInclusive<u64> = 340..=345;
/// Keys that every line has; the others are the event's own.
const COMMON_FIELDS: [&str; 5] = ["t_ms", "table_ms", "vm", "event", "what"];

/// A log line.
#[derive(Debug)]
struct LogLine {
    /// The table service's clock in ms; zero when the VM did not know it yet.
    table_ms: u64,
    vm: String,
    /// Position in its file, which keeps the order of one VM's lines.
    line_number: usize,
    fields: Map<String, Value>,
    /// It is about the request itself.
    matches_id: bool,
}

/// What was found.
#[derive(Debug, Default)]
pub struct Trace {
    lines: Vec<LogLine>,
    /// Lines that are not log lines of an entry VM.
    pub unparsed_lines: usize,
}

impl Trace {
    /// Takes in one VM's log. What stands before a line's first brace is
    /// ignored, as log collectors put their own time there.
    pub fn add_log(&mut self, id: &str, log: &str) {
        for (line_number, text) in log.lines().enumerate() {
            let start = text.find('{').unwrap_or(text.len());
            let value = serde_json::from_str(&text[start..]);
            let Ok(Value::Object(fields)) = value else {
                self.unparsed_lines += 1;
                continue;
            };
            let matches_id = fields.values().any(|value| contains_text(value, id));
            let event = fields.get("event").and_then(Value::as_u64);
            if matches_id || event.is_some_and(|event| OWNERSHIP_EVENTS.contains(&event)) {
                self.lines.push(LogLine {
                    table_ms: fields.get("table_ms").and_then(Value::as_u64).unwrap_or(0),
                    vm: display_value(fields.get("vm")),
                    line_number,
                    fields,
                    matches_id,
                });
            }
        }
    }

    /// The lines in order, from the first to the last on the request; lines on
    /// the ownership in between are marked with a star.
    #[must_use]
    pub fn into_text(mut self) -> String {
        self.lines.sort_by(|a, b| {
            (a.table_ms, &a.vm, a.line_number).cmp(&(b.table_ms, &b.vm, b.line_number))
        });
        let first = self.lines.iter().position(|line| line.matches_id);
        let last = self.lines.iter().rposition(|line| line.matches_id);
        let (Some(first), Some(last)) = (first, last) else {
            return String::new();
        };
        let first_table_ms = self.lines[first].table_ms;
        let mut out = String::new();
        for line in &self.lines[first..=last] {
            write_line(line, first_table_ms, &mut out);
        }
        out
    }
}

fn contains_text(value: &Value, id: &str) -> bool {
    match value {
        Value::String(text) => text.contains(id),
        Value::Array(values) => values.iter().any(|value| contains_text(value, id)),
        _ => false,
    }
}

fn display_value(value: Option<&Value>) -> String {
    match value {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}

fn write_line(line: &LogLine, first_table_ms: u64, out: &mut String) {
    let mark = if line.matches_id { ' ' } else { '*' };
    let elapsed_ms = line.table_ms.saturating_sub(first_table_ms);
    let event = display_value(line.fields.get("event"));
    let what = display_value(line.fields.get("what"));
    // Writing to a string does not fail.
    let _ = write!(out, "{mark}{elapsed_ms:>8} ms {} {event} {what}", line.vm);
    let event_fields = line.fields.iter();
    for (key, value) in event_fields.filter(|(key, _)| !COMMON_FIELDS.contains(&key.as_str())) {
        let _ = write!(out, " {key}={}", display_value(Some(value)));
    }
    out.push('\n');
}
