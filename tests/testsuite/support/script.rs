//! Shell blocks of pages, and a shell that runs them.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::unbounded;

use super::poll::poll;

/// Time within which a block ends, or a long-running one says that it is ready.
const BLOCK_LIMIT: Duration = Duration::from_secs(90);

/// A shell block of a page.
#[derive(Debug)]
pub(crate) struct Block {
    /// Where it starts, for messages.
    pub(crate) place: String,
    /// Words after `sh` in the info string.
    pub(crate) marks: Vec<String>,
    pub(crate) text: String,
}

impl Block {
    /// The value of a mark such as `exit=3`.
    pub(crate) fn mark(&self, name: &str) -> Option<&str> {
        let values = self.marks.iter().filter_map(|mark| mark.split_once('='));
        values
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    pub(crate) fn is_marked(&self, mark: &str) -> bool {
        self.marks.iter().any(|known| known == mark)
    }
}

/// A page and its shell blocks, in order.
pub(crate) struct Page {
    pub(crate) text: String,
    pub(crate) blocks: Vec<Block>,
}

impl Page {
    /// Reads a page by its path below the root of the repository. Each fenced block must name its
    /// language, so that no command escapes the test.
    pub(crate) fn read(path: &str) -> Self {
        let text = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path)).unwrap();
        let mut blocks = Vec::new();
        let mut lines = text.lines().enumerate();
        while let Some((at, line)) = lines.next() {
            let Some(info) = line.strip_prefix("```") else {
                continue;
            };
            let mut words = info.split(',').map(str::to_owned);
            let language = words.next().unwrap();
            let content: Vec<&str> = lines
                .by_ref()
                .map(|(_, line)| line)
                .take_while(|line| *line != "```")
                .collect();
            assert!(
                ["sh", "jsonc", "text"].contains(&language.as_str()),
                "{path}:{}: block in {language:?}",
                at + 1
            );
            if language == "sh" {
                blocks.push(Block {
                    place: format!("{path}:{}", at + 1),
                    marks: words.collect(),
                    text: content.join("\n"),
                });
            }
        }
        Self { text, blocks }
    }
}

/// Runs blocks one after the other in a directory of its own. Dropping it ends what still runs.
pub(crate) struct Shell {
    dir: PathBuf,
    env: Vec<(String, String)>,
    running: Vec<Child>,
}

impl Shell {
    /// A shell whose `PATH` starts with the programs under test.
    pub(crate) fn open(name: &str, env: Vec<(String, String)>) -> Self {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("shell-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(dir.join("examples/mesh")).unwrap();
        let sample = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/mesh/mesh.jsonc");
        fs::copy(sample, dir.join("examples/mesh/mesh.jsonc")).unwrap();
        Self {
            dir,
            env,
            running: Vec::new(),
        }
    }

    /// Runs a block to its end, or until a long-running one is ready.
    pub(crate) fn run(&mut self, block: &Block) {
        // `cargo run` stands for the program that this test run has built.
        let program = env!("CARGO_BIN_EXE_lavenderhatch");
        let text = block.text.replace("cargo run --release --", program);
        assert!(!text.contains("cargo "), "{}: {text}", block.place);
        match block.is_marked("long-running") {
            true => self.start(block, &text),
            false => self.finish(block, &text),
        }
    }

    fn command(&self, text: &str) -> Command {
        let programs = Path::new(env!("CARGO_BIN_EXE_lavenderhatch"))
            .parent()
            .unwrap();
        let path = std::env::var("PATH").unwrap_or_default();
        let mut command = Command::new("sh");
        command
            .args(["-eu", "-c", text])
            .current_dir(&self.dir)
            .envs(self.env.iter().cloned())
            .env("PATH", format!("{}:{path}", programs.display()))
            .stdin(Stdio::null());
        command
    }

    fn finish(&self, block: &Block, text: &str) {
        let log = self.dir.join("output.txt");
        let file = fs::File::create(&log).unwrap();
        let mut child = self
            .command(text)
            .stdout(file.try_clone().unwrap())
            .stderr(file)
            .spawn()
            .unwrap();
        let status = poll(BLOCK_LIMIT, &block.place, || child.try_wait().unwrap());
        let expected = block.mark("exit").map_or(0, |code| code.parse().unwrap());
        let output = fs::read_to_string(&log).unwrap();
        assert_eq!(status.code(), Some(expected), "{}: {output}", block.place);
    }

    /// Starts a single command and waits for its line that holds the word of the mark `ready`. Its
    /// `export` lines set variables of later blocks.
    fn start(&mut self, block: &Block, text: &str) {
        let mut child = self
            .command(&format!("exec {text} 2>&1"))
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        self.running.push(child);
        let (tx, rx) = unbounded();
        thread::spawn(move || {
            output
                .lines()
                .map_while(Result::ok)
                .all(|line| tx.send(line).is_ok())
        });
        let ready = block
            .mark("ready")
            .expect("a long-running block has a mark ready=WORD");
        let deadline = Instant::now() + BLOCK_LIMIT;
        let mut seen = String::new();
        loop {
            let line = rx.recv_deadline(deadline);
            let line = line.unwrap_or_else(|err| panic!("{}: {err}: {seen}", block.place));
            let variable = line
                .strip_prefix("export ")
                .and_then(|rest| rest.split_once('='));
            if let Some((name, value)) = variable {
                self.env.push((name.to_owned(), value.to_owned()));
            }
            if line.contains(ready) {
                return;
            }
            seen = seen + &line + "\n";
        }
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
