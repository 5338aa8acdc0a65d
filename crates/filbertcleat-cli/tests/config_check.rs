//! The check of a deployment configuration before it is sent.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

const EXAMPLE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../platform/filbertcleat-prepared/examples/deployment.json"
);

/// Runs the check without the address of an entry or a token, and returns the exit code and the
/// output.
fn check(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_filbertcleat"));
    command.env_remove("FILBERTCLEAT_ENTRY").env_remove("FILBERTCLEAT_TOKEN");
    let output = command.args(["config", "check"]).args(arguments).output().expect("it runs");
    let [out, err] = [&output.stdout, &output.stderr].map(|bytes| String::from_utf8_lossy(bytes));
    (output.status.code(), format!("{out}{err}"))
}

/// Writes a variant of the example to a file.
fn variant(name: &str, change: impl FnOnce(&mut Value)) -> PathBuf {
    let text = fs::read_to_string(EXAMPLE).expect("the example exists");
    let mut row = serde_json::from_str(&text).expect("the example is JSON");
    change(&mut row);
    write(name, &row.to_string())
}

fn write(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("filbertcleat-{name}-{}", std::process::id()));
    fs::write(&path, text).expect("the file is writable");
    path
}

fn path(file: &std::path::Path) -> &str {
    file.to_str().expect("the path is UTF-8")
}

#[test]
fn example_is_clean() {
    let (code, printed) = check(&[EXAMPLE]);

    assert_eq!((code, printed.as_str()), (Some(0), "0 errors, 0 warnings, 0 differences\n"));
}

#[test]
fn findings_printed() {
    let file = variant("findings", |row| row["routes"][0]["service"] = json!("gone"));

    let (code, table) = check(&[path(&file)]);
    let (json_code, json) = check(&[path(&file), "--json"]);

    assert_eq!((code, json_code), (Some(1), Some(1)));
    for text in ["error", "route write", "service gone does not exist", "hint: ", "1 errors"] {
        assert!(table.contains(text), "{table}");
    }
    let json: Value = serde_json::from_str(&json).expect("the output is JSON");
    let finding = &json["findings"][0];
    assert_eq!(
        (&finding["severity"], &finding["kind"], &finding["name"]),
        (&json!("error"), &json!("route"), &json!("write"))
    );
    assert_eq!(json["differences"], json!([]));
}

/// Guards against differences, which a new version is meant to have, failing a script.
#[test]
fn differences_are_no_findings() {
    let file = variant("newer", |row| {
        row["version"] = json!(8);
        row["routes"][0]["priority"] = json!(2);
    });

    let (code, table) = check(&[path(&file), "--against", EXAMPLE]);
    let (json_code, json) = check(&[path(&file), "--against", EXAMPLE, "--json"]);
    let (older_code, older) = check(&[EXAMPLE, "--against", path(&file)]);

    assert_eq!((code, json_code), (Some(0), Some(0)), "{table}");
    assert!(table.contains("priority 1 -> 2"), "{table}");
    let json: Value = serde_json::from_str(&json).expect("the output is JSON");
    assert_eq!(json["differences"][0]["fields"], json!(["version 7 -> 8"]));
    assert_eq!(older_code, Some(1));
    assert!(older.contains("version 7 is not above 8"), "{older}");
}

/// Guards against API keys in terminals and in the logs of scripts.
#[rstest]
#[case::table(&[])]
#[case::json(&["--json"])]
fn keys_not_printed(#[case] format: &[&str]) {
    let text = fs::read_to_string(EXAMPLE).expect("the example exists");
    let text = text.replace("\"version\": 7", "\"version\": 8");
    let changed = write("keys", &text.replace("key-of-north", "key-of-someone"));
    let shared = write("shared", &text.replace("key-of-north", "key-of-south"));

    let (_, changed) = check(&[&[path(&changed), "--against", EXAMPLE], format].concat());
    let (_, shared) = check(&[&[path(&shared), "--against", EXAMPLE], format].concat());

    assert!(changed.contains("keys 1 added, 1 removed"), "{changed}");
    assert!(shared.contains("one of its API keys"), "{shared}");
    assert!(!changed.contains("example-key") && !shared.contains("example-key"));
}

/// Guards against an error that quotes a value, which is a key if a list is written as one.
#[test]
fn value_not_quoted() {
    let file = variant("quoted", |row| row["routes"] = json!("example\"key"));

    let (code, printed) = check(&[path(&file)]);

    assert_eq!(code, Some(2), "{printed}");
    assert!(!printed.contains("example") && !printed.contains("key"), "{printed}");
    assert!(printed.contains("expected a sequence"), "{printed}");
}

#[rstest]
#[case::missing(&["no-such-file.json"], "no-such-file.json")]
#[case::no_file(&[], "needs check and a FILE")]
#[case::extra(&[EXAMPLE, "other.json"], "not expected")]
#[case::against_missing(&[EXAMPLE, "--against", "no-such-file.json"], "no-such-file.json")]
fn wrong_usage(#[case] arguments: &[&str], #[case] message: &str) {
    let (code, printed) = check(arguments);

    assert_eq!(code, Some(2), "{printed}");
    assert!(printed.contains(message), "{printed}");
}

#[rstest]
#[case::no_json("version: 7")]
#[case::no_configuration("{}")]
fn unreadable(#[case] text: &str) {
    let file = write(&format!("unreadable-{}", text.len()), text);

    let (code, printed) = check(&[path(&file)]);

    assert_eq!(code, Some(2), "{printed}");
    assert!(printed.contains(path(&file)), "{printed}");
}
