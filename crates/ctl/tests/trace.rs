//! Merging the logs of several entry VMs.

use ctl::Trace;

const JOB: &str = "00000000000000a1";

/// Logs of two VMs whose local monotonic clocks (`t_ms`) are unrelated. VM `a`
/// accepts the job, VM `b` starts it and fails, and `a` claims the ownership and
/// starts the job again.
fn logs() -> [String; 2] {
    let first = [
        r#"{"t_ms":10,"table_ms":1000,"vm":"a","event":330,"what":"accepted","job":"00000000000000a1"}"#,
        r#"{"t_ms":12,"table_ms":1002,"vm":"a","event":330,"what":"accepted","job":"00000000000000b2"}"#,
        r#"{"t_ms":900,"table_ms":1900,"vm":"a","event":340,"what":"claiming","epoch":2}"#,
        r#"{"t_ms":980,"table_ms":1980,"vm":"a","event":360,"what":"start","job":"00000000000000a1","run":1001}"#,
    ];
    let second = [
        "not a log line",
        r#"  12.3 vm-b {"t_ms":77000,"table_ms":1010,"vm":"b","event":360,"what":"start","job":"00000000000000a1","run":1}"#,
    ];
    [first.join("\n"), second.join("\n")]
}

#[test]
fn lines_are_ordered_by_the_table_service_clock() {
    let mut trace = Trace::default();

    for log in logs() {
        trace.add_log(JOB, &log);
    }

    assert_eq!(trace.unparsed_lines, 1);
    let text = trace.into_text();
    let lines: Vec<&str> = text.lines().map(str::trim_start).collect();
    assert_eq!(
        lines,
        [
            "0 ms a 330 accepted job=00000000000000a1",
            "10 ms b 360 start job=00000000000000a1 run=1",
            "*     900 ms a 340 claiming epoch=2",
            "980 ms a 360 start job=00000000000000a1 run=1001",
        ]
    );
}

#[test]
fn unknown_id_yields_an_empty_trace() {
    let mut trace = Trace::default();

    for log in logs() {
        trace.add_log("ffffffffffffffff", &log);
    }

    assert!(trace.into_text().is_empty());
}
