//! Merges the log lines of several entry VMs on one request.
//!
//! Lines are sorted by the table service's monotonic clock: each line carries
//! the latest reading that its VM had. Wall-clock time is not used because it
//! may jump.
//!
//! Invariant: lines that cannot be parsed are counted in `unparsed_lines`.

use std::fmt::Write as _;

use serde_json::{Map, Value};

/// Events about ownership changes. They are included because they often explain
/// what happened between two lines on a request.
const OWNERSHIP_EVENTS: std::ops::RangeInclusive<u64> = 340..=345;
/// Fields that every line has; all others are specific to the event.
const COMMON_FIELDS: [&str; 5] = ["t_ms", "table_ms", "vm", "event", "what"];

/// A parsed log line.
#[derive(Debug)]
struct LogLine {
    /// Table service clock in ms; zero if the VM had no reading yet.
    table_ms: u64,
    vm: String,
    /// Line number in its file, which keeps the lines of one VM in order.
    line_number: usize,
    fields: Map<String, Value>,
    /// True if a field contains the id that is searched for.
    matches_id: bool,
}

/// Log lines on one request, with the ownership events around them.
#[derive(Debug, Default)]
pub struct Trace {
    lines: Vec<LogLine>,
    /// Number of lines that are not a JSON object.
    pub unparsed_lines: usize,
}

impl Trace {
    /// Adds the lines of one VM's log. Text before a line's first brace is
    /// ignored, because log collectors put their own timestamp there.
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

    /// Formats the lines from the first to the last one that contains the id.
    /// Ownership events in between are marked with a star.
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
    // Writing to a string cannot fail.
    let _ = write!(out, "{mark}{elapsed_ms:>8} ms {} {event} {what}", line.vm);
    let event_fields = line.fields.iter();
    for (key, value) in event_fields.filter(|(key, _)| !COMMON_FIELDS.contains(&key.as_str())) {
        let _ = write!(out, " {key}={}", display_value(Some(value)));
    }
    out.push('\n');
}
