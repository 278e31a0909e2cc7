//! Tests of changing constants in the source of the delivery policy.

use crate::variant::with_constant;

#[test]
fn only_the_named_constant_is_changed() {
    let policy = "const A: u32 = 5; // five\nconst AB: f64 = 1.0;\n";
    assert_eq!(with_constant(policy, "A", "7").unwrap(), "const A: u32 = 7; // five\nconst AB: f64 = 1.0;\n");
    assert!(with_constant(policy, "B", "7").is_err());
    let shared = "pub(super) const A: u32 = 5;\nconst OTHER: u32 = A;\n";
    let changed = "pub(super) const A: u32 = 7;\nconst OTHER: u32 = A;\n";
    assert_eq!(with_constant(shared, "A", "7").unwrap(), changed);
}
