//! Logging: one line per event, prefixed with the part of the program that logs
//! it. Plain lines go to standard error, JSON lines to standard output.

use {
    super::lines::LineAppender,
    crate::settings::LogFormat,
    log::LevelFilter,
    log4rs::{
        Config,
        append::{
            Append,
            console::{ConsoleAppender, Target},
        },
        config::{Appender, Logger, Root},
        encode::pattern::PatternEncoder,
    },
};

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)(utc)}Z {l} {m}{n}";

/// Starts logging. The crates in `crates` log at `level`, all others log errors
/// only.
pub fn start_logs(level: LevelFilter, format: LogFormat, crates: &[&str]) {
    let appender: Box<dyn Append> = match format {
        LogFormat::Plain => {
            let encoder = Box::new(PatternEncoder::new(PATTERN));
            Box::new(ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build())
        }
        LogFormat::Json => Box::new(LineAppender::start()),
    };
    let appender = Appender::builder().build("lines", appender);
    let mut config = Config::builder().appender(appender);
    for name in crates {
        config = config.logger(Logger::builder().build(*name, level));
    }
    // Libraries log errors only.
    let root = Root::builder().appender("lines").build(level.min(LevelFilter::Error));
    let config = config.build(root).expect("the logging configuration is valid");
    if let Err(err) = log4rs::init_config(config) {
        eprintln!("mangobendd: logging can't be started: {err}");
    }
}
