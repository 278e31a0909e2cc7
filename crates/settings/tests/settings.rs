//! Reading of the settings object, in both of its forms.

use mountshift::interface::*;
use mountshift_settings::{
    FlatSettings, RateLimitField, SettingsError, policy_settings, rate_limit_field, relay_id, socket_settings,
};
use serde_json::json;
use std::time::Duration;

const TEXT: &str = "balancers=3\nme=2\nzone=1\nquantum=5000\nkinds=big_host,small\nlocalities=a,b\nweights=rough\n\
classes.count=2\nclasses.0.name=one\nclasses.0.aim=1500000\nclasses.0.giveUp=8000000\nclasses.0.importance=1.0\n\
classes.0.idempotency=deduplicated\nclasses.0.memorySpan=5000000\nclasses.0.group=zone\nclasses.1.name=two\n\
classes.1.aim=1\nclasses.1.giveUp=2\nclasses.1.importance=3\nclasses.1.idempotency=at_most_once\n\
classes.1.inOrder=true\ntenants.count=1\ntenants.0.name=north_mill\ntenants.0.quotaPerS=4.5\ndiscovery=subscribe\n\
familyInfo.callsOut=7\nfamilyInfo.ownLimits=true,false\nfamilyInfo.kindBatch=20,1\nfamilyInfo.decay=halving\n\
familyInfo.feeByZone=0.5,0.25\nlimits.openCap=117\nlimits.maxAttempts=8\nlimits.cancel=true\n\
limits.connIdle=15000000\nlimits.dialTimeout=1500000\nobligations.coldFrom=0.28\nobligations.warmAfter=13000000\n\
obligations.fallMultiple=1.5\nobligations.fall=2000000\nnew.key=left,alone\n";

#[test]
fn text_and_json_give_the_same_settings() {
    let class = |name, aim, give_up, importance, idempotency, more: serde_json::Value| {
        let mut class = json!({"name": name, "aim": aim, "giveUp": give_up, "importance": importance,
            "idempotency": idempotency});
        class.as_object_mut().expect("an object").extend(more.as_object().expect("an object").clone());
        class
    };
    let json = json!({"balancers": 3, "me": 2, "zone": 1, "quantum": 5000, "kinds": ["big host", "small"],
        "localities": ["a", "b"], "weights": "rough", "discovery": "subscribe",
        "classes": [
            class("one", 1_500_000, 8_000_000, 1.0, "deduplicated", json!({"memorySpan": 5_000_000, "group": "zone"})),
            class("two", 1, 2, 3.0, "at_most_once", json!({"inOrder": true, "memorySpan": null})),
        ],
        "tenants": [{"name": "north mill", "quotaPerS": 4.5}],
        "familyInfo": {"callsOut": 7, "ownLimits": [true, false], "kindBatch": [20, 1], "decay": "halving",
            "feeByZone": [0.5, 0.25]},
        "limits": {"openCap": 117, "maxAttempts": 8, "cancel": true, "connIdle": 15_000_000,
            "dialTimeout": 1_500_000},
        "obligations": {"coldFrom": 0.28, "warmAfter": 13_000_000, "fallMultiple": 1.5, "fall": 2_000_000}});
    let (text, json) = (FlatSettings::from_text(TEXT), FlatSettings::from_json(&json));
    let read = |flat| policy_settings(flat, relay_id(flat).expect("a number"), 9).expect("settings");
    assert_eq!(format!("{:?}", read(&json)), format!("{:?}", read(&text)));
    assert_eq!(format!("{:?}", socket_settings(&json)), format!("{:?}", socket_settings(&text)));
    let (policy, sockets) = (read(&json), socket_settings(&json).expect("settings"));
    let keyed = Idempotency::WithKey { window: Duration::from_secs(5), scope: DeduplicationScope::SameZone };
    assert_eq!(
        (policy.relay, policy.classes[0].idempotency, policy.classes[1].in_order),
        (RelayId(2), keyed, true)
    );
    assert_eq!(
        (policy.tenant_quotas, policy.zone_fees, policy.requires_polling),
        (vec![4.5], vec![0.5, 0.25], true)
    );
    assert_eq!(
        (sockets.destination_kinds[0].as_str(), sockets.tenants[0].as_str()),
        ("big_host", "north_mill")
    );
}

#[test]
fn error_names_the_missing_or_invalid_setting() {
    for (from, to, expected) in [
        ("balancers=3\n", "", "setting balancers is missing"),
        ("limits.openCap=117", "limits.openCap=many", "setting limits.openCap=many can't be read"),
        (
            "obligations.coldFrom=0.28",
            "obligations.coldFrom=NaN",
            "setting obligations.coldFrom=NaN is not a finite number of at least 0",
        ),
        (
            "familyInfo.callsOut=7",
            "familyInfo.callsOut=0",
            "setting familyInfo.callsOut=0 must be at least 1",
        ),
        ("limits.maxAttempts=8", "limits.maxAttempts=0", "setting limits.maxAttempts=0 must be at least 1"),
        (
            "feeByZone=0.5,0.25",
            "feeByZone=0.5,inf",
            "setting familyInfo.feeByZone=inf is not a finite number of at least 0",
        ),
        ("classes.count=2", "classes.count=0", "setting classes.count=0 must be at least 1"),
        ("=at_most_once", "=sometimes", "setting classes.1.idempotency=sometimes is not known"),
    ] {
        let flat = FlatSettings::from_text(&TEXT.replacen(from, to, 1));
        assert_eq!(policy_settings(&flat, RelayId(0), 1).expect_err(expected).to_string(), expected);
    }
}

// Guards against two customers whose names become equal, because spaces and commas are read as underscores.
#[test]
fn names_that_become_equal_are_rejected() {
    let result_of = |json: serde_json::Value| {
        let settings = socket_settings(&FlatSettings::from_json(&json));
        settings.map(drop).map_err(|error: SettingsError| error.to_string())
    };
    let limits = json!({"connIdle": 1, "dialTimeout": 1});
    for list in ["classes", "tenants"] {
        let two = |a: &str, b: &str| json!({list: [{"name": a}, {"name": b}], "limits": limits});
        let expected = format!("setting {list}: two names are both read as a_b and can't be distinguished");
        assert_eq!(result_of(two("a b", "a_b")), Err(expected.clone()));
        assert_eq!(result_of(two("a,b", "a b")), Err(expected));
        assert_eq!(result_of(two("a b", "A b")), Ok(()));
    }
    for list in ["localities", "kinds"] {
        let expected = format!("setting {list}: two names are both read as a_b and can't be distinguished");
        assert_eq!(result_of(json!({list: ["a b", "a_b"], "limits": limits})), Err(expected));
    }
    let zone = json!({"localities": ["a", "b"], "zone": 2, "limits": limits});
    assert_eq!(result_of(zone), Err("setting zone=2 is out of range: there are 2 localities".to_string()));
}

// A latency objective beyond the deadline has no effect: a message keeps its full value up to the deadline.
#[test]
fn latency_objective_is_limited_to_the_deadline() {
    let flat = FlatSettings::from_text(&TEXT.replacen("classes.1.aim=1\n", "classes.1.aim=9\n", 1));
    let class = policy_settings(&flat, RelayId(0), 1).expect("settings").classes[1];
    assert_eq!(class.latency_objective, class.deadline);
}

// Answers report a rate limit if the settings describe one of their values as the limit. Other values are
// ignored.
#[test]
fn rate_limit_field_is_found_by_its_description_in_the_settings() {
    let field = |index, name: &str| Some(RateLimitField { index, name: name.to_string() });
    let found = |source: &str, fields: &[&str], x0: &str, x1: &str| {
        let json = json!({"loadInfo": {"source": source, "fields": fields}, "familyInfo": {"reportX0": x0, "reportX1": x1}});
        rate_limit_field(&FlatSettings::from_json(&json)).expect("readable")
    };
    let (share, limit) = (
        "share of the allowance that is left",
        "calls a second that the limit allows; 0 where there is none",
    );
    assert_eq!(found("answers", &["x0", "x1"], share, limit), field(1, "x1"));
    assert_eq!(found("answers", &["left", "limit"], limit, share), field(0, "left"));
    for (source, x1) in [("none", limit), ("probe", limit), ("answers", share)] {
        assert_eq!(found(source, &["x0", "x1"], share, x1), None);
    }
    assert_eq!(found("answers", &["x0"], share, limit), None);
    assert_eq!(rate_limit_field(&FlatSettings::from_text("")), Ok(None));
}
