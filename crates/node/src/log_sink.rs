//! Log output through `simplelog`, as text or JSON lines.
//!
//! Invariant: each record starts with its event number.

use control::Notice;
use simplelog::{ConfigBuilder, LevelFilter, SimpleLogger, WriteLogger};

use crate::settings::{Log, LogFormat};

/// Installs the logger; a second call in one process has no effect.
pub(crate) fn install(settings: Log) {
    let level = match settings.quiet {
        true => LevelFilter::Warn,
        false => LevelFilter::Info,
    };
    let mut builder = ConfigBuilder::new();
    builder
        .add_filter_allow_str("node")
        .set_time_format_rfc3339();
    let outcome = match settings.format {
        LogFormat::Text => SimpleLogger::init(level, builder.build()),
        LogFormat::Json => {
            // The record is a JSON object already; nothing is put before it.
            builder
                .set_time_level(LevelFilter::Off)
                .set_max_level(LevelFilter::Off)
                .set_thread_level(LevelFilter::Off)
                .set_target_level(LevelFilter::Off);
            WriteLogger::init(level, builder.build(), std::io::stderr())
        }
    };
    // Already installed: keep the first.
    drop(outcome);
}

/// Writes one event.
pub(crate) fn write(format: LogFormat, node: &str, notice: &Notice) {
    let line = match format {
        LogFormat::Text => format!("{} {notice}", notice.number()),
        LogFormat::Json => {
            let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            serde_json::json!({
                "time_ms": since.map_or(0, |t| t.as_millis() as u64),
                "node": node,
                "event": notice.number(),
                "message": notice.to_string(),
            })
            .to_string()
        }
    };
    match notice.is_warning() {
        true => log::warn!("{line}"),
        false => log::info!("{line}"),
    }
}
