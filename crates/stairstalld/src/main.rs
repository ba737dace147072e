//! Entry point of the daemon, with settings from flags and environment variables.

use std::process::ExitCode;
use std::time::Duration;

use stairstalld::batch::settings::BatchSettings;
use stairstalld::logging::{self, LogWriter};
use stairstalld::settings::{InvalidSettings, Settings};

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// First argument that selects the batch daemon, which schedules jobs of steps and tasks on a
/// platform with a shared store.
const BATCH: &str = "batch";
/// Longest wait for the last log lines before the process ends. Standard output may block.
const LAST_LINES_TIMEOUT: Duration = Duration::from_millis(500);

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some(BATCH) {
        return start(
            BatchSettings::from_process(),
            |settings| logging::start(&settings.log, settings.log_lines_per_s),
            stairstalld::batch::run,
        );
    }
    start(
        Settings::from_process(),
        |settings| logging::start(&settings.log, logging::DEFAULT_LINES_PER_TARGET),
        stairstalld::run,
    )
}

/// Starts logging and runs a daemon, or prints all invalid settings.
fn start<S>(
    settings: Result<S, InvalidSettings>,
    start_logging: impl FnOnce(&S) -> LogWriter,
    run: impl FnOnce(S) -> Result<(), stairstalld::RunError>,
) -> ExitCode {
    let settings = match settings {
        Ok(settings) => settings,
        Err(errors) => {
            eprint!("{errors}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let log_writer = start_logging(&settings);
    let exit_code = match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "stop", error:% = error; "the daemon ended with an error");
            ExitCode::FAILURE
        }
    };
    log_writer.wait_until_written(LAST_LINES_TIMEOUT);
    exit_code
}
