//! Starts the daemon with settings from flags and environment variables.

use std::process::ExitCode;

use stairstalld::settings::Settings;

/// Exit code for settings that are not allowed.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let settings = match Settings::from_process() {
        Ok(settings) => settings,
        Err(mistakes) => {
            eprint!("{mistakes}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    env_logger::Builder::new()
        .parse_filters(&settings.log)
        .format_timestamp_millis()
        .init();
    match stairstalld::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
