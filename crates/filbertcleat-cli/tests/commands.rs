//! The client's commands against processes on loopback.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use filbertcleat_fakes::LOOPBACK_TOKEN;
use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use rstest::rstest;

async fn run_client(system: &LoopbackSystem, arguments: &[&str]) -> Result<Output, LoopbackError> {
    let entry = system.entries[0].operator_address.ok_or("no operators' address")?;
    let mut command = Command::new(env!("CARGO_BIN_EXE_filbertcleat"));
    command.args(["--operator", "tester", "--entry", &entry.to_string()]).args(arguments);
    command.env("FILBERTCLEAT_TOKEN", LOOPBACK_TOKEN);
    Ok(tokio::task::spawn_blocking(move || command.output()).await??)
}

fn printed(output: &Output) -> String {
    let [out, err] = [&output.stdout, &output.stderr].map(|bytes| String::from_utf8_lossy(bytes));
    format!("{out}{err}")
}

fn small_config() -> LoopbackConfig {
    LoopbackConfig { engines: 1, has_plain_service: false, ..LoopbackConfig::default() }
}

fn write_changes(name: &str, yaml: &str) -> Result<PathBuf, LoopbackError> {
    let path =
        std::env::temp_dir().join(format!("filbertcleat-{name}-{}.yaml", std::process::id()));
    std::fs::write(&path, yaml)?;
    Ok(path)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn patch_changes_config() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small_config()).await?;
    let file = write_changes("good", "- { op: add-version, adapter: school-0, version: 2 }\n")?;
    let file = file.display().to_string();

    let patched = run_client(&system, &["patch", &file]).await?;
    let stale = run_client(&system, &["patch", &file, "--base", "1"]).await?;
    system.wait_until_live(3, 2).await?;
    let status = run_client(&system, &["status"]).await?;
    let adapters = run_client(&system, &["adapters", "school-0"]).await?;
    let config = run_client(&system, &["config", "--json"]).await?;
    let timeline = run_client(&system, &["timeline", "--since", "10m"]).await?;

    assert!(patched.status.success(), "{}", printed(&patched));
    assert!(printed(&patched).contains("version 2 is in force"));
    assert_eq!(stale.status.code(), Some(1), "{}", printed(&stale));
    assert!(printed(&stale).contains("version 2 is in force"));
    assert!(printed(&status).contains("agent-0"), "{}", printed(&status));
    assert!(printed(&adapters).contains("1,2"), "{}", printed(&adapters));
    assert!(printed(&config).starts_with('{'));
    assert!(printed(&timeline).contains("event=patch"), "{}", printed(&timeline));
    assert!(printed(&timeline).contains("operator=tester"));
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_stops_agent() -> Result<(), LoopbackError> {
    let mut system = LoopbackSystem::start(small_config()).await?;

    let drained = run_client(&system, &["drain", "agent-0"]).await?;
    let unknown = run_client(&system, &["drain", "nobody"]).await?;

    assert!(drained.status.success(), "{}", printed(&drained));
    assert!(printed(&drained).contains("leaving"));
    assert_eq!(unknown.status.code(), Some(1));
    system.agents[0].join();
    Ok(())
}

#[rstest]
#[case(&["paint"], 2, "does not exist")]
#[case(&["patch"], 2, "needs a FILE")]
#[case(&["status", "--colour"], 2, "colour")]
#[case(&["timeline", "--since", "soon"], 2, "ms, s, m or h")]
#[case(&["check", "no-such-file.yaml"], 2, "no-such-file.yaml")]
#[case(&["status"], 3, "--entry")]
#[case(&["--help"], 0, "Exit codes")]
fn exit_code_and_message(#[case] arguments: &[&str], #[case] code: i32, #[case] message: &str) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_filbertcleat"));
    // Nothing listens on port 1.
    command.env("FILBERTCLEAT_ENTRY", "127.0.0.1:1").env("FILBERTCLEAT_TOKEN", LOOPBACK_TOKEN);

    let output = command.args(arguments).output().expect("the client runs");

    assert_eq!(output.status.code(), Some(code), "{}", printed(&output));
    assert!(printed(&output).contains(message), "{}", printed(&output));
}
