//! Shell blocks of Markdown pages, and a shell that runs them.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use super::poll::poll;

const ROOT: &str = env!("CARGO_MANIFEST_DIR");
/// Time within which a block must exit, or a long-running block must be ready.
const BLOCK_LIMIT: Duration = Duration::from_secs(90);

/// A fenced shell block of a page.
pub(crate) struct ShellBlock {
    /// Path and line of the start of the block, for error messages.
    location: String,
    /// Attributes after `sh` in the info string.
    attributes: Vec<String>,
    pub(crate) text: String,
}

impl ShellBlock {
    pub(crate) fn has_attribute(&self, attribute: &str) -> bool {
        self.attributes.iter().any(|known| known == attribute)
    }

    /// Returns the value of an attribute such as `exit=3`.
    fn attribute_value(&self, name: &str) -> Option<&str> {
        let mut values = self
            .attributes
            .iter()
            .filter_map(|attribute| attribute.split_once('='));
        values.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Reads the shell blocks of a page.
///
/// Asserts that each fenced block names its language, since a shell block without one would not be
/// tested.
pub(crate) fn read_blocks(path: &str) -> Vec<ShellBlock> {
    let text = fs::read_to_string(Path::new(ROOT).join(path)).unwrap();
    let mut blocks = Vec::new();
    let mut lines = text.lines().enumerate();
    while let Some((index, line)) = lines.next() {
        let Some(info) = line.strip_prefix("```") else {
            continue;
        };
        let mut words = info.split(',').map(str::to_owned);
        let language = words.next().unwrap();
        let location = format!("{path}:{}", index + 1);
        assert!(
            ["sh", "jsonc", "text"].contains(&language.as_str()),
            "{location}: {language:?}"
        );
        let content = lines
            .by_ref()
            .map(|(_, line)| line)
            .take_while(|line| *line != "```");
        let text = content.collect::<Vec<_>>().join("\n");
        if language == "sh" {
            let attributes = words.collect();
            blocks.push(ShellBlock {
                location,
                attributes,
                text,
            });
        }
    }
    blocks
}

/// Runs shell blocks one after the other in its own directory. Dropping it kills the processes that
/// still run.
pub(crate) struct Shell {
    dir: PathBuf,
    env: Vec<(String, String)>,
    running: Vec<Child>,
}

impl Shell {
    /// Creates a shell whose `PATH` starts with the directory of the programs under test.
    pub(crate) fn open(name: &str, env: Vec<(String, String)>) -> Self {
        let name = format!("shell-{name}-{}", std::process::id());
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(dir.join("examples/mesh")).unwrap();
        let sample = "examples/mesh/mesh.jsonc";
        fs::copy(Path::new(ROOT).join(sample), dir.join(sample)).unwrap();
        let running = Vec::new();
        Self { dir, env, running }
    }

    /// Runs a block until it exits, or until a long-running block prints the word of its attribute
    /// `ready`. The `export` lines of a long-running block set environment variables of later
    /// blocks.
    pub(crate) fn run(&mut self, block: &ShellBlock) {
        let log = self.dir.join(format!("output-{}", self.running.len()));
        let child = self.spawn(block, &log);
        self.running.push(child);
        let child = self.running.last_mut().unwrap();
        let output = || fs::read_to_string(&log).unwrap();
        let Some(ready) = block.attribute_value("ready") else {
            let status = poll(BLOCK_LIMIT, &block.location, || child.try_wait().unwrap());
            let expected = block
                .attribute_value("exit")
                .map_or(0, |code| code.parse().unwrap());
            assert_eq!(
                status.code(),
                Some(expected),
                "{}: {}",
                block.location,
                output()
            );
            return;
        };
        poll(BLOCK_LIMIT, &block.location, || {
            let has_ended = child.try_wait().unwrap().is_some();
            assert!(!has_ended, "{}: {}", block.location, output());
            output().contains(ready).then_some(())
        });
        let output = output();
        let exports = output
            .lines()
            .filter_map(|line| line.strip_prefix("export "));
        let variables = exports.filter_map(|export| export.split_once('='));
        let owned = variables.map(|(name, value)| (name.to_owned(), value.to_owned()));
        self.env.extend(owned);
    }

    fn spawn(&self, block: &ShellBlock, log: &Path) -> Child {
        // `cargo run` is replaced by the program that this test run has built.
        let program = Path::new(env!("CARGO_BIN_EXE_lavenderhatch"));
        let name = program.to_str().unwrap();
        let text = block.text.replace("cargo run --release --", name);
        assert!(!text.contains("cargo "), "{}: {text}", block.location);
        let exec = if block.has_attribute("long-running") {
            "exec "
        } else {
            ""
        };
        let path = std::env::var("PATH").unwrap_or_default();
        let file = fs::File::create(log).unwrap();
        Command::new("sh")
            .args(["-eu", "-c", &format!("{exec}{text}")])
            .current_dir(&self.dir)
            .envs(self.env.iter().cloned())
            .env(
                "PATH",
                format!("{}:{path}", program.parent().unwrap().display()),
            )
            .stdin(Stdio::null())
            .stdout(file.try_clone().unwrap())
            .stderr(file)
            .spawn()
            .unwrap()
    }
}

impl Drop for Shell {
    fn drop(&mut self) {
        for child in &mut self.running {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}
