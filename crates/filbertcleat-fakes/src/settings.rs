//! Settings of processes on loopback.

use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use filbertcleat_config::Settings;

/// The token that processes on loopback share.
pub const LOOPBACK_TOKEN: &str = "loopback-token";

/// The token files written by this process.
static TOKENS: AtomicU64 = AtomicU64::new(0);

/// Writes the token of processes on loopback to a file, and returns its path.
pub fn write_token() -> std::io::Result<String> {
    // A file of its own for each system, since another may read its token at this moment.
    let number = TOKENS.fetch_add(1, Ordering::Relaxed);
    let name = format!("filbertcleat-token-{}-{number}", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(name);
    std::fs::write(&path, LOOPBACK_TOKEN)?;
    Ok(path.display().to_string())
}

/// Returns the settings of an entry on loopback.
///
/// The tokens are read from `token_file`, which `write_token` makes.
pub fn entry_settings(name: &str, platform: &str, token_file: &str, seeds: &[String]) -> Settings {
    let yaml = format!(
        "{}callers:\n  listen: 127.0.0.1:0\n  read_timeout_ms: 1000\noperators:\n  listen: 127.0.0.1:0\n  token: {{ file: {token_file} }}\n",
        common("entry", name, platform, token_file, seeds)
    );
    parse(&yaml)
}

/// Returns the settings of an agent on loopback, beside an engine or a plain service.
pub fn agent_settings(
    name: &str,
    platform: &str,
    token_file: &str,
    seeds: &[String],
    backend: &str,
) -> Settings {
    let lines: Vec<_> = backend.lines().map(|line| format!("  {}", line.trim())).collect();
    let common = common("agent", name, platform, token_file, seeds);
    parse(&format!("{common}backend:\n{}\n", lines.join("\n")))
}

fn common(role: &str, name: &str, platform: &str, token_file: &str, seeds: &[String]) -> String {
    format!(
        "role: {role}\nname: {name}\nregion: loopback\nplace: here\n\
         peers:\n  listen: 127.0.0.1:0\n  token: {{ file: {token_file} }}\n  seeds: [{}]\n\
         \u{20} exchange_ms: 100\n  gone_ms: 1000\n\
         platform:\n  table: {platform}\n  objects: {platform}\n  vms: {platform}\n  timeout_ms: 500\n\
         \u{20} poll_ms: 300\n\
         drain:\n  balancer_lag_ms: 300\nnightly:\n  poll_ms: 200\n  lease_ms: 2000\n",
        seeds.join(", ")
    )
}

fn parse(yaml: &str) -> Settings {
    match Settings::parse(yaml) {
        Ok(settings) => settings,
        Err(problems) => panic!("settings for loopback are wrong: {problems:?}\n{yaml}"),
    }
}
