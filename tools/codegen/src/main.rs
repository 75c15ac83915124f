//! Generates the Rust code of the operators' schema. Run by hand; its output is committed.
//!
//! `cargo run -p dahlia-codegen` writes the generated file; with `--check` it writes nothing and
//! exits 1 when the committed file differs from what would be generated.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{env, fs, io};

use snafu::{ResultExt, Snafu};

const SCHEMA: &str = "operators.proto";
const GENERATED: &str = "dahlialadder.operators.v1.rs";

#[derive(Debug, Snafu)]
enum CodegenError {
    #[snafu(display("compiling {SCHEMA}: {source}"))]
    Schema { source: Box<dyn std::error::Error + Send + Sync> },
    #[snafu(display("{step} {}: {source}", path.display()))]
    File { step: &'static str, path: PathBuf, source: io::Error },
}

fn main() -> ExitCode {
    let check = env::args().any(|argument| argument == "--check");
    match run(check) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("codegen: {GENERATED} is stale; run cargo run -p dahlia-codegen");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("codegen: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Generates into a scratch folder, then compares or replaces. Returns whether the tree is fresh.
fn run(check: bool) -> Result<bool, CodegenError> {
    let api = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../crates/api");
    let scratch = env::temp_dir().join(format!("dahlia-codegen-{}", std::process::id()));
    fs::create_dir_all(&scratch).context(FileSnafu { step: "creating", path: &scratch })?;
    let text = generate(&api.join("proto"), &scratch);
    fs::remove_dir_all(&scratch).context(FileSnafu { step: "removing", path: &scratch })?;
    let text = text?;
    let committed = api.join("src/generated").join(GENERATED);
    if check {
        let present = fs::read_to_string(&committed)
            .context(FileSnafu { step: "reading", path: &committed })?;
        return Ok(present == text);
    }
    fs::write(&committed, text).context(FileSnafu { step: "writing", path: &committed })?;
    Ok(true)
}

fn generate(schemas: &Path, scratch: &Path) -> Result<String, CodegenError> {
    let descriptors = protox::compile([schemas.join(SCHEMA)], [schemas])
        .map_err(Into::into)
        .context(SchemaSnafu)?;
    tonic_prost_build::configure()
        .out_dir(scratch)
        // The command line prints answers as JSON.
        .type_attribute(".", "#[derive(serde::Serialize)]")
        .compile_fds(descriptors)
        .map_err(Into::into)
        .context(SchemaSnafu)?;
    let path = scratch.join(GENERATED);
    fs::read_to_string(&path).context(FileSnafu { step: "reading", path: &path })
}
