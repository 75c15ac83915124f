//! Settings: the file, the flags, and the message for each mistake. Runs the real binary.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use dahlia_daemon::settings::Settings;
use dahlia_types::{TenantId, TenantKey};
use tempfile::TempDir;

const MINIMAL_SETTINGS: &str = r#"[daemon]
id = 7
zone = "hall-a"
region = "gulf-south"
peer_address = "127.0.0.1:7100"
gateway_address = "127.0.0.1:7200"
operators_address = "127.0.0.1:7300"
seeds = []

[credentials]
tenant_key = "tenant-key-of-tests"
operator_token = "operator-token-of-tests"
peer_key = "peer-key-of-the-tests"
"#;

struct SettingsFile {
    folder: TempDir,
}

impl SettingsFile {
    fn with(text: &str) -> Self {
        let folder = TempDir::new().expect("a folder");
        fs::write(folder.path().join("daemon.toml"), text).expect("is written");
        Self { folder }
    }

    fn path(&self) -> PathBuf {
        self.folder.path().join("daemon.toml")
    }

    fn run(&self, flags: &[&str]) -> Output {
        run(&self.path(), flags)
    }

    /// Exit code and message, without this run's folder.
    fn refusal(&self, flags: &[&str]) -> String {
        let output = self.run(flags);
        let message = String::from_utf8(output.stderr).expect("text");
        let folder = format!("{}/", self.folder.path().display());
        format!("exit {:?}: {}", output.status.code(), message.replace(&folder, "").trim())
    }
}

fn run(path: &Path, flags: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahlialadder"));
    command.arg("--settings").arg(path).args(flags);
    command.output().expect("the daemon's binary runs")
}

#[test]
fn valid_settings_are_confirmed() {
    let output = SettingsFile::with(MINIMAL_SETTINGS).run(&["--check"]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, b"settings are valid\n");
}

#[test]
fn printed_settings_are_valid_settings_and_print_the_same() {
    let first = SettingsFile::with(MINIMAL_SETTINGS).run(&["--print-settings"]);
    assert_eq!(first.status.code(), Some(0));
    let text = String::from_utf8(first.stdout).expect("text");
    let printed = SettingsFile::with(&text);
    assert_eq!(printed.run(&["--check"]).status.code(), Some(0));
    let second = printed.run(&["--print-settings"]);
    assert_eq!(String::from_utf8(second.stdout).expect("text"), text);
    let settings: Settings = toml::from_str(&text).expect("TOML");
    assert_eq!(settings.limits, dahlia_api::RequestLimits::default());
}

#[test]
fn an_issued_credential_opens_the_tenants_programs_by_the_same_key() {
    let file = SettingsFile::with(MINIMAL_SETTINGS);
    let output = file.run(&["--issue-credential", "bayou-current"]);
    assert!(output.status.success());
    let credential = String::from_utf8(output.stdout).expect("a line of text");
    let settings: toml::Value = toml::from_str(MINIMAL_SETTINGS).expect("the settings are TOML");
    let key = settings["credentials"]["tenant_key"].as_str().expect("there is a key");
    let tenant = TenantKey::new(key.as_bytes()).check(credential.trim());
    assert_eq!(tenant, Ok(TenantId::new("bayou-current")));
    assert!(TenantKey::new("another-key").check(credential.trim()).is_err());
}

#[test]
fn flags_override_the_file() {
    let flags = ["--print-settings", "--id", "9", "--zone", "hall-b", "--log-level", "debug"];
    let output = SettingsFile::with(MINIMAL_SETTINGS).run(&flags);
    let settings: Settings =
        toml::from_str(&String::from_utf8(output.stdout).expect("text")).expect("TOML");
    assert_eq!(settings.daemon.id.0, 9);
    assert_eq!(settings.daemon.zone.as_str(), "hall-b");
    assert_eq!(settings.log.level, "debug");
}

#[test]
fn each_mistake_names_file_field_value_and_what_is_allowed() {
    let changed = |from: &str, to: &str| {
        assert!(MINIMAL_SETTINGS.contains(from), "{from}");
        MINIMAL_SETTINGS.replacen(from, to, 1)
    };
    let with = |more: &str| format!("{MINIMAL_SETTINGS}{more}");
    let files = [
        ("unknown field", changed("id = 7", "id = 7\nidd = 8")),
        ("unknown table", with("[limit]\n")),
        ("missing field", changed("zone = \"hall-a\"\n", "")),
        ("wrong type", changed("id = 7", "id = \"seven\"")),
        ("wrong address", changed("127.0.0.1:7200", "localhost")),
        ("empty zone", changed("hall-a", "")),
        ("short secret", changed("tenant-key-of-tests", "short")),
        ("value too small", with("[limits]\nbody_bytes = 1\n")),
        ("value below its sibling", with("[limits]\ngenerated_tokens = 10\n")),
        ("too many losses", with("[tolerance]\nmachines = 1001\n")),
        ("unknown policy", format!("policy = \"best\"\n{MINIMAL_SETTINGS}")),
        ("unknown log level", with("[log]\nlevel = \"loud\"\n")),
        ("not TOML", "[daemon".to_owned()),
    ];
    let mut refusals = String::new();
    for (name, text) in &files {
        refusals += &format!("# {name}\n{}\n", SettingsFile::with(text).refusal(&["--check"]));
    }
    insta::assert_snapshot!(refusals);
}

#[test]
fn mistakes_on_the_command_line_end_with_exit_code_2() {
    let file = SettingsFile::with(MINIMAL_SETTINGS);
    let missing = run(&file.folder.path().join("none.toml"), &["--check"]);
    assert_eq!(missing.status.code(), Some(2));
    let message = String::from_utf8(missing.stderr).expect("text");
    assert!(message.contains("none.toml: No such file"), "{message}");
    insta::assert_snapshot!(file.refusal(&["--check", "--zone", ""]));
    let unknown = file.run(&["--check", "--unknown-flag"]);
    assert_eq!(unknown.status.code(), Some(2), "{unknown:?}");
}
