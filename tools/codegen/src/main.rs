//! Generates the Rust code of the operators' schema. It is run by hand and its output is committed.
//!
//! `cargo run -p dahlia-codegen` writes the generated file; with `--check` it writes nothing and
//! exits with 1 if the committed file differs from the generated one.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{env, fs, io};

use snafu::{ResultExt, Snafu};

const SCHEMA_FILE: &str = "operators.proto";
const GENERATED_FILE: &str = "dahlialadder.operators.v1.rs";

#[derive(Debug, Snafu)]
enum CodegenError {
    #[snafu(display("compiling {SCHEMA_FILE}: {source}"))]
    Schema { source: Box<dyn std::error::Error + Send + Sync> },
    #[snafu(display("{operation} {}: {source}", path.display()))]
    File { operation: &'static str, path: PathBuf, source: io::Error },
}

fn main() -> ExitCode {
    let check = env::args().any(|argument| argument == "--check");
    match check_or_update(check) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("codegen: {GENERATED_FILE} is stale; run cargo run -p dahlia-codegen");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("codegen: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Generates the code into a temporary folder, then compares the committed file with it or replaces
/// it. Returns whether the committed file is up to date.
fn check_or_update(check: bool) -> Result<bool, CodegenError> {
    let api_crate = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../crates/api");
    let temporary = env::temp_dir().join(format!("dahlia-codegen-{}", std::process::id()));
    fs::create_dir_all(&temporary)
        .context(FileSnafu { operation: "creating", path: &temporary })?;
    let text = generate(&api_crate.join("proto"), &temporary);
    fs::remove_dir_all(&temporary)
        .context(FileSnafu { operation: "removing", path: &temporary })?;
    let text = text?;
    let committed = api_crate.join("src/generated").join(GENERATED_FILE);
    if check {
        let current = fs::read_to_string(&committed)
            .context(FileSnafu { operation: "reading", path: &committed })?;
        return Ok(current == text);
    }
    fs::write(&committed, text).context(FileSnafu { operation: "writing", path: &committed })?;
    Ok(true)
}

/// Compiles the schema in `schemas` and returns the generated code.
fn generate(schemas: &Path, temporary: &Path) -> Result<String, CodegenError> {
    let descriptors = protox::compile([schemas.join(SCHEMA_FILE)], [schemas])
        .map_err(Into::into)
        .context(SchemaSnafu)?;
    tonic_prost_build::configure()
        .out_dir(temporary)
        // The command line prints answers as JSON, so every type must be serializable.
        .type_attribute(".", "#[derive(serde::Serialize)]")
        .compile_fds(descriptors)
        .map_err(Into::into)
        .context(SchemaSnafu)?;
    let path = temporary.join(GENERATED_FILE);
    fs::read_to_string(&path).context(FileSnafu { operation: "reading", path: &path })
}
