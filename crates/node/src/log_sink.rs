//! Log output through `simplelog`, as text or JSON lines.
//!
//! Invariant: each record carries its event number; in the text format, its
//! message starts with it.

use control::Notice;
use simplelog::{ConfigBuilder, LevelFilter, SimpleLogger, WriteLogger};

use crate::settings::{Log, LogFormat};

/// Installs the logger; later calls in the same process have no effect.
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
            // Each record is a complete JSON object, so no prefix may be added.
            builder
                .set_time_level(LevelFilter::Off)
                .set_max_level(LevelFilter::Off)
                .set_thread_level(LevelFilter::Off)
                .set_target_level(LevelFilter::Off);
            WriteLogger::init(level, builder.build(), std::io::stderr())
        }
    };
    // Fails only if a logger is already installed, which stays in use.
    drop(outcome);
}

/// Logs one event, as a warning or as information.
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
