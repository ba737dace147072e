//! Entry point of the daemon, with settings from flags and environment variables.

use std::process::ExitCode;

use stairstalld::batch::settings::BatchSettings;
use stairstalld::logging;
use stairstalld::settings::{InvalidSettings, Settings};

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// First argument that selects the batch daemon, which schedules jobs of steps and tasks on a
/// platform with a shared store.
const BATCH: &str = "batch";

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
    start_logging: impl FnOnce(&S),
    run: impl FnOnce(S) -> Result<(), stairstalld::RunError>,
) -> ExitCode {
    let settings = match settings {
        Ok(settings) => settings,
        Err(errors) => {
            eprint!("{errors}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    start_logging(&settings);
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "stop", error:% = error; "the daemon ended with an error");
            // Gives the logging thread time to write the last lines.
            std::thread::sleep(std::time::Duration::from_millis(20));
            ExitCode::FAILURE
        }
    }
}
