//! Variants of the delivery policy with changed constants. Each is built from a copy of this checkout and run as a
//! separate program, so that the policy needs no way to set its constants from outside.

use crate::error::CliError;
use mountshift_lab::outcome::DayOutcome;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Folder of the modules with the constants of the delivery policy.
const POLICY: &str = "src/policy";
/// Parts of the checkout that a build requires.
const CHECKOUT_PARTS: [&str; 4] = ["Cargo.toml", "Cargo.lock", "src", "crates"];
/// Parent folder of the variants' folders.
const VARIANTS_FOLDER: &str = "target/variants";
/// Cargo target folder of all variants, shared so that dependencies are built once.
const BUILD_FOLDER: &str = "target/variants/built";
const BUILT_PROGRAM: &str = "target/variants/built/release/mountshift";

/// Program with changed constants of the delivery policy.
pub(crate) struct Variant {
    program: PathBuf,
}

impl Variant {
    /// Builds the variant from a TOML file with the source text of each changed constant's value by name.
    pub(crate) fn from_file(path: &Path) -> Result<Variant, CliError> {
        let text = std::fs::read_to_string(path).map_err(CliError::file(path))?;
        let constants = toml::from_str(&text)
            .map_err(|source| CliError::Constants { path: path.to_path_buf(), source })?;
        Variant::build(constants)
    }

    /// Builds the variant. The working folder must be the checkout.
    pub(crate) fn build(constants: BTreeMap<String, String>) -> Result<Variant, CliError> {
        let mut modules = read_policy()?;
        for (constant, value) in &constants {
            change_constant(&mut modules, constant, value)?;
        }
        let folder = variant_folder(&constants);
        std::fs::create_dir_all(&folder).map_err(CliError::file(&folder))?;
        for part in CHECKOUT_PARTS {
            copy_part(part, &folder)?;
        }
        for (path, text) in &modules {
            write_if_changed(&folder.join(path), text)?;
        }
        eprintln!("building {}", folder.display());
        if !build_succeeds(&folder) {
            return Err(CliError::BuildVariant { constants });
        }
        // The next build overwrites the program in the shared target folder.
        let program = folder.join("mountshift");
        std::fs::copy(BUILT_PROGRAM, &program).map_err(CliError::file(&program))?;
        Ok(Variant { program })
    }

    /// Simulates days with the variant.
    pub(crate) fn run(&self, scenarios: &[PathBuf], seeds: &[u64]) -> Result<Vec<DayOutcome>, CliError> {
        let results = self.program.with_extension("json");
        let first_seed = seeds.first().copied().unwrap_or(1);
        let status = Command::new(&self.program)
            .args(["lab", "run", "--seeds", &seeds.len().to_string()])
            .args(["--first-seed", &first_seed.to_string()])
            .arg("--save")
            .arg(&results)
            .args(scenarios)
            .stdout(Stdio::null())
            .status()
            .map_err(CliError::file(&self.program))?;
        match status.code() {
            // Exit code 1 means a broken rule, which still gives results.
            Some(0 | 1) => read_results(&results),
            exit_code => Err(CliError::RunVariant { program: self.program.clone(), exit_code }),
        }
    }
}

/// Reads the texts of the policy's modules by path.
fn read_policy() -> Result<BTreeMap<PathBuf, String>, CliError> {
    let no_checkout = |source| CliError::NoCheckout { path: POLICY.into(), source };
    let mut modules = BTreeMap::new();
    for entry in std::fs::read_dir(POLICY).map_err(no_checkout)? {
        let path = entry.map_err(no_checkout)?.path();
        let text = std::fs::read_to_string(&path).map_err(CliError::file(&path))?;
        modules.insert(path, text);
    }
    Ok(modules)
}

/// Replaces a constant's value in the module that defines it.
fn change_constant(
    modules: &mut BTreeMap<PathBuf, String>,
    constant: &str,
    value: &str,
) -> Result<(), CliError> {
    for text in modules.values_mut() {
        if let Ok(changed) = with_constant(text, constant, value) {
            *text = changed;
            return Ok(());
        }
    }
    Err(CliError::UnknownConstant { path: POLICY, constant: constant.to_string() })
}

/// Returns a folder whose name is made of the constants.
fn variant_folder(constants: &BTreeMap<String, String>) -> PathBuf {
    let mut name = String::from("as-it-is");
    for (constant, value) in constants {
        name = format!("{name}-{constant}-{value}");
    }
    Path::new(VARIANTS_FOLDER).join(name.replace(|c: char| !c.is_ascii_alphanumeric(), "-"))
}

fn copy_part(part: &'static str, folder: &Path) -> Result<(), CliError> {
    let status = Command::new("cp").args(["-rpu", part]).arg(folder).status();
    if status.is_ok_and(|status| status.success()) {
        return Ok(());
    }
    Err(CliError::CopyCheckout { part, folder: folder.to_path_buf() })
}

/// Writes a file unless it already contains the text, so that Cargo does not rebuild it.
fn write_if_changed(path: &Path, text: &str) -> Result<(), CliError> {
    if std::fs::read_to_string(path).is_ok_and(|old| old == text) {
        return Ok(());
    }
    std::fs::write(path, text).map_err(CliError::file(path))
}

fn build_succeeds(folder: &Path) -> bool {
    let status = Command::new("cargo")
        .args(["build", "--release", "--locked", "--quiet", "-p", "mountshift-cli"])
        .args(["--target-dir", BUILD_FOLDER])
        .arg("--manifest-path")
        .arg(folder.join("Cargo.toml"))
        .status();
    status.is_ok_and(|status| status.success())
}

/// Returns the text of a module with the value of a constant replaced.
pub(crate) fn with_constant(policy: &str, constant: &str, value: &str) -> Result<String, CliError> {
    let mut found = false;
    let mut changed = String::new();
    for line in policy.lines() {
        match line_with_value(line, constant, value) {
            Some(line) => {
                changed.push_str(&line);
                found = true;
            }
            None => changed.push_str(line),
        }
        changed.push('\n');
    }
    if !found {
        return Err(CliError::UnknownConstant { path: POLICY, constant: constant.to_string() });
    }
    Ok(changed)
}

/// Returns the line with the value replaced if it defines the constant. Text after the value is kept.
fn line_with_value(line: &str, constant: &str, value: &str) -> Option<String> {
    let start = format!("const {constant}: ");
    let (visibility, rest) = line.split_once(&start)?;
    if !["", "pub(super) ", "pub(crate) "].contains(&visibility) {
        return None;
    }
    let (constant_type, old) = rest.split_once(" = ")?;
    let (_, after) = old.split_once(';')?;
    Some(format!("{visibility}{start}{constant_type} = {value};{after}"))
}

/// Reads the results that `lab run --save` wrote.
pub(crate) fn read_results(path: &Path) -> Result<Vec<DayOutcome>, CliError> {
    let text = std::fs::read_to_string(path).map_err(CliError::file(path))?;
    serde_json::from_str(&text).map_err(|source| CliError::Results { path: path.to_path_buf(), source })
}
