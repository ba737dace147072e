//! A scratch copy of the checkout, in which variants are played.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use crate::BenchError;

/// The deploy file, from the root of a checkout.
const DEPLOY: &str = "deploy/system.toml";
/// Where the bench leaves its entries.
const JOURNAL: &str = "journal";

/// A copy of a checkout's files as they are now.
#[derive(Debug)]
pub struct Checkout {
    root: PathBuf,
    origin: PathBuf,
    /// The deploy file as it was copied.
    deploy: String,
}

impl Checkout {
    /// Copies what git tracks, and what is new and not ignored, from `origin` into `root`.
    ///
    /// The journal is left out, so that entries found there later are of these plays.
    ///
    /// # Errors
    ///
    /// Returns what could not be copied.
    pub fn copy(origin: &Path, root: &Path) -> Result<Self, BenchError> {
        let script = "rm -rf \"$2\"/[!t]* && mkdir -p \"$2\" && cd \"$1\" && \
            git ls-files -coz --exclude-standard -- . ':!journal' \
            | xargs -0 sh -c 'for f; do [ -e \"$f\" ] && printf \"%s\\0\" \"$f\"; done' _ \
            | tar --null -cf - -T - | tar -xf - -C \"$2\" && cd \"$2\" && \
            (git init -q . 2>/dev/null; git add -A; \
             git -c user.name=rounds -c user.email=rounds@localhost commit -qm copy || true)";
        let mut command = Command::new("sh");
        command.args(["-c", script, "sh"]).args([origin, root]);
        run("sh", &mut command)?;
        let deploy_path = root.join(DEPLOY);
        let deploy = std::fs::read_to_string(&deploy_path);
        let deploy = deploy.map_err(|error| BenchError::File(deploy_path, error))?;
        Ok(Self {
            root: root.to_owned(),
            origin: origin.to_owned(),
            deploy,
        })
    }

    /// Returns the root of the copy.
    #[must_use]
    pub fn root(&self) -> &Path {
        &self.root
    }

    /// Lets the daemon start with further flags.
    ///
    /// # Errors
    ///
    /// Returns why the deploy file can't be changed.
    pub fn set_flags(&self, flags: &str) -> Result<(), BenchError> {
        let text = with_flags(&self.deploy, flags).ok_or(BenchError::Deploy)?;
        let path = self.root.join(DEPLOY);
        std::fs::write(&path, text).map_err(|error| BenchError::File(path, error))
    }

    /// Takes the bench's entries over into the checkout that was copied.
    ///
    /// # Errors
    ///
    /// Returns what could not be copied.
    pub fn keep_entries(&self) -> Result<(), BenchError> {
        let script = "cd \"$1\" 2>/dev/null && cp -a . \"$2\"/ || true";
        let mut command = Command::new("sh");
        command.args(["-c", script, "sh"]);
        command.args([self.root.join(JOURNAL), self.origin.join(JOURNAL)]);
        run("sh", &mut command).map(|_| ())
    }
}

/// Returns the deploy file's text with flags added where the daemon is started.
#[must_use]
pub fn with_flags(deploy: &str, flags: &str) -> Option<String> {
    let mut found = false;
    let lines = deploy.lines().map(|line| {
        let is_start = line.starts_with("run = \"") && line.ends_with('"');
        if !is_start || flags.is_empty() {
            found |= is_start;
            return line.to_owned();
        }
        found = true;
        format!("{} {flags}\"", &line[..line.len() - 1])
    });
    let text = lines.collect::<Vec<_>>().join("\n") + "\n";
    found.then_some(text)
}

/// Runs a program to its end.
pub(crate) fn run(name: &str, command: &mut Command) -> Result<Output, BenchError> {
    let failed = |why: String| BenchError::Program(name.to_owned(), why);
    let output = command
        .output()
        .map_err(|error| failed(error.to_string()))?;
    if output.status.success() {
        return Ok(output);
    }
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    let said = said + &String::from_utf8_lossy(&output.stdout);
    let last: String = said.lines().rev().take(5).collect::<Vec<_>>().join(" | ");
    Err(failed(format!("{}: {last}", output.status)))
}
