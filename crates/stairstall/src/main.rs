//! Command line of stairstall for operators and callers.

mod cli;
mod client;
mod commands;
mod exit;
mod render;

use std::process::ExitCode;

use exit::Trouble;

fn main() -> ExitCode {
    let options = match cli::options() {
        Ok(options) => options,
        Err(code) => return code,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(commands::run(&options)),
        Err(error) => Err(Trouble::Local(format!("no runtime: {error}"))),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("stairstall: {trouble}");
            trouble.exit_code()
        }
    }
}
