use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why an experiment could not be played.
    #[derive(Debug)]
    pub enum BenchError {
        /// A file could not be read or written.
        File(path: PathBuf, error: std::io::Error) {
            display("{}: {error}", path.display())
        }
        /// A program could not be run, or failed.
        Program(program: String, why: String) {
            display("{program}: {why}")
        }
        /// A report does not hold what it should.
        Report(path: PathBuf, error: serde_json::Error) {
            display("{}: {error}", path.display())
        }
        /// A variant is not written as it should be.
        Variant(text: String) {
            display("{text:?} is not NAME or NAME:GROUP.FIELD=VALUE+GROUP.FIELD=VALUE")
        }
        /// The deploy file has no line that starts the daemon.
        Deploy {
            display("deploy/system.toml has no line that starts the daemon")
        }
    }
}
