//! Starts the daemon with settings from flags and environment variables.

use std::process::ExitCode;

use stairstalld::batch::settings::BatchSettings;
use stairstalld::logging;
use stairstalld::settings::{InvalidSettings, Settings};

/// Exit code for settings that are not allowed.
const EXIT_SETTINGS: u8 = 2;
/// First argument that asks for jobs of steps and tasks on a platform with a shared store.
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

/// Runs a daemon whose settings are allowed.
fn start<S>(
    settings: Result<S, InvalidSettings>,
    start_logging: impl FnOnce(&S),
    run: impl FnOnce(S) -> Result<(), stairstalld::RunError>,
) -> ExitCode {
    let settings = match settings {
        Ok(settings) => settings,
        Err(mistakes) => {
            eprint!("{mistakes}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    start_logging(&settings);
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "stop", error:% = error; "ended");
            // The writing thread gets a moment for the last lines.
            std::thread::sleep(std::time::Duration::from_millis(20));
            ExitCode::FAILURE
        }
    }
}
