//! Settings of daemons that listen on loopback.

use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use filbertcleat_config::Settings;

/// The token that all daemons on loopback use for peers and operators.
pub const LOOPBACK_TOKEN: &str = "loopback-token";

/// The number of token files that this process has written.
static TOKEN_FILES: AtomicU64 = AtomicU64::new(0);

/// Writes [`LOOPBACK_TOKEN`] to a new temporary file and returns its path.
pub fn write_token_file() -> std::io::Result<String> {
    // Each system gets its own file: rewriting a shared one could truncate it while a daemon of
    // another system reads it.
    let number = TOKEN_FILES.fetch_add(1, Ordering::Relaxed);
    let name = format!("filbertcleat-token-{}-{number}", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(name);
    std::fs::write(&path, LOOPBACK_TOKEN)?;
    Ok(path.display().to_string())
}

/// Returns the settings of an entry on loopback.
///
/// `platform` is the base URL of the platform services, `token_file` a file from
/// [`write_token_file`], and `seeds` the peer addresses to join. Panics if the settings are
/// invalid.
pub fn entry_settings(name: &str, platform: &str, token_file: &str, seeds: &[String]) -> Settings {
    let yaml = format!(
        "{}callers:\n  listen: 127.0.0.1:0\n  read_timeout_ms: 1000\noperators:\n  listen: 127.0.0.1:0\n  token: {{ file: {token_file} }}\n",
        common_yaml("entry", name, platform, token_file, seeds)
    );
    parse(&yaml)
}

/// Returns the settings of an agent on loopback.
///
/// `backend` holds the YAML lines of the `backend` section, which describe an engine or a plain
/// service; the other arguments are those of [`entry_settings`]. Panics if the settings are
/// invalid.
pub fn agent_settings(
    name: &str,
    platform: &str,
    token_file: &str,
    seeds: &[String],
    backend: &str,
) -> Settings {
    let lines: Vec<_> = backend.lines().map(|line| format!("  {}", line.trim())).collect();
    let common = common_yaml("agent", name, platform, token_file, seeds);
    parse(&format!("{common}backend:\n{}\n", lines.join("\n")))
}

fn common_yaml(
    role: &str,
    name: &str,
    platform: &str,
    token_file: &str,
    seeds: &[String],
) -> String {
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
        Err(problems) => panic!("invalid loopback settings: {problems:?}\n{yaml}"),
    }
}
