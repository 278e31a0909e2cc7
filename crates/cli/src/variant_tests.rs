//! What a variant changes in the text of the decisions.

use crate::variant::with_constant;

#[test]
fn a_constant_is_changed_and_nothing_else() {
    let policy = "const A: u32 = 5; // five\nconst AB: f64 = 1.0;\n";
    assert_eq!(with_constant(policy, "A", "7").unwrap(), "const A: u32 = 7; // five\nconst AB: f64 = 1.0;\n");
    assert!(with_constant(policy, "B", "7").is_err());
    let shared = "pub(super) const A: u32 = 5;\nconst OTHER: u32 = A;\n";
    let changed = "pub(super) const A: u32 = 7;\nconst OTHER: u32 = A;\n";
    assert_eq!(with_constant(shared, "A", "7").unwrap(), changed);
}
