//! The decisions with other constants: built anew from this checkout beside it, and played by a program of their
//! own, so that a value never comes into the decisions from outside.

use mountshift_lab::outcome::DayOutcome;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;

const POLICY: &str = "src/policy";
const PARTS: [&str; 4] = ["Cargo.toml", "Cargo.lock", "src", "crates"];

/// The decisions with some constants changed.
pub struct Variant {
    program: PathBuf,
}

impl Variant {
    /// Constants by name, each with the text of its value.
    pub fn from_file(path: &Path) -> Result<Variant, String> {
        let shown = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
        let constants: BTreeMap<String, String> =
            toml::from_str(&text).map_err(|e| format!("{shown}: {}", e.message()))?;
        Variant::of(constants)
    }

    /// Builds it; must be called inside the checkout.
    pub fn of(constants: BTreeMap<String, String>) -> Result<Variant, String> {
        let read = |path: &Path| {
            std::fs::read_to_string(path).map_err(|e| format!("{}: {e} (not in a checkout?)", path.display()))
        };
        let mut modules: BTreeMap<PathBuf, String> = BTreeMap::new();
        for entry in std::fs::read_dir(POLICY).map_err(|e| format!("{POLICY}: {e} (not in a checkout?)"))? {
            let path = entry.map_err(|e| format!("{POLICY}: {e}"))?.path();
            modules.insert(path.clone(), read(&path)?);
        }
        let mut name = String::from("as-it-is");
        for (constant, value) in &constants {
            let module = modules.values_mut().find(|text| with_constant(text, constant, value).is_ok());
            let module = module.ok_or(format!("{POLICY} has no constant {constant}"))?;
            *module = with_constant(module, constant, value)?;
            name = format!("{name}-{constant}-{value}");
        }
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
        let folder = PathBuf::from("target/variants").join(name.chars().map(plain).collect::<String>());
        let copy = |from: &str| {
            let status = Command::new("cp").args(["-rpu", from]).arg(&folder).status();
            status
                .is_ok_and(|s| s.success())
                .then_some(())
                .ok_or(format!("{from}: can't be copied to {}", folder.display()))
        };
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        PARTS.iter().try_for_each(|part| copy(part))?;
        for (path, text) in &modules {
            let at = folder.join(path);
            if std::fs::read_to_string(&at).ok().as_ref() != Some(text) {
                std::fs::write(&at, text).map_err(|e| format!("{}: {e}", at.display()))?;
            }
        }
        eprintln!("building {}", folder.display());
        let mut build = Command::new("cargo");
        build.args(["build", "--release", "--locked", "--quiet", "-p", "mountshift-cli"]);
        build.args(["--target-dir", "target/variants/built"]);
        build.args(["--manifest-path".into(), folder.join("Cargo.toml")]);
        if !build.status().is_ok_and(|s| s.success()) {
            return Err(format!("the decisions with {constants:?} can't be built"));
        }
        // The next variant is built at the same place.
        let program = folder.join("mountshift");
        std::fs::copy("target/variants/built/release/mountshift", &program)
            .map_err(|e| format!("{}: {e}", program.display()))?;
        Ok(Variant { program })
    }

    pub fn play(&self, scenarios: &[PathBuf], seeds: &[u64]) -> Result<Vec<DayOutcome>, String> {
        let save = self.program.with_extension("json");
        let mut run = Command::new(&self.program);
        run.args(["lab", "run", "--seeds", &seeds.len().to_string()]);
        run.args(["--first-seed", &seeds.first().copied().unwrap_or(1).to_string(), "--save"]);
        run.arg(&save).args(scenarios).stdout(std::process::Stdio::null());
        let status = run.status().map_err(|e| format!("{}: {e}", self.program.display()))?;
        match status.code() {
            Some(0 | 1) => played(&save),
            code => Err(format!("{}: ended with {code:?}", self.program.display())),
        }
    }
}

/// The text with one constant's value replaced.
fn with_constant(rules: &str, constant: &str, value: &str) -> Result<String, String> {
    let start = format!("const {constant}: ");
    let mut found = false;
    let line = |line: &str| {
        let (visibility, rest) = line.split_once(&start)?;
        if !["", "pub(super) ", "pub(crate) "].contains(&visibility) {
            return None;
        }
        let (kind, old) = rest.split_once(" = ")?;
        let (_, after) = old.split_once(';')?;
        Some(format!("{visibility}{start}{kind} = {value};{after}"))
    };
    let lines: Vec<String> = rules
        .lines()
        .map(|l| {
            let changed = line(l);
            found |= changed.is_some();
            changed.unwrap_or_else(|| l.to_string())
        })
        .collect();
    if found { Ok(lines.join("\n") + "\n") } else { Err(format!("{POLICY} has no constant {constant}")) }
}

/// Days that `lab run --save` kept.
pub fn played(path: &Path) -> Result<Vec<DayOutcome>, String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{shown}: {e}"))
}

#[cfg(test)]
mod tests {
    use super::with_constant;

    #[test]
    fn a_constant_is_changed_and_nothing_else() {
        let rules = "const A: u32 = 5; // five\nconst AB: f64 = 1.0;\n";
        assert_eq!(
            with_constant(rules, "A", "7").unwrap(),
            "const A: u32 = 7; // five\nconst AB: f64 = 1.0;\n"
        );
        assert!(with_constant(rules, "B", "7").is_err());
        let shared = "pub(super) const A: u32 = 5;\nconst OTHER: u32 = A;\n";
        let changed = "pub(super) const A: u32 = 7;\nconst OTHER: u32 = A;\n";
        assert_eq!(with_constant(shared, "A", "7").unwrap(), changed);
    }
}
