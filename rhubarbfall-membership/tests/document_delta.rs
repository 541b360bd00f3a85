//! Patches between JSON values. A wrong patch would leave a peer with a document that differs from
//! the sender's, so a patch has to reproduce the later value or be rejected.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rhubarbfall_membership::Patch;
use serde_json::{Value, json};

fn json_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<u8>().prop_map(Value::from),
        "[a-c]{0,3}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 32, 6, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            proptest::collection::vec(("[a-d]", inner), 0..4)
                .prop_map(|members| Value::Object(members.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn patch_turns_the_earlier_value_into_the_later(before in json_value(), after in json_value()) {
        let mut value = before.clone();
        if let Some(patch) = Patch::between(&before, &after) {
            prop_assert!(patch.apply(&mut value));
        }
        prop_assert_eq!(value, after);
    }
}

#[test]
fn patch_of_another_value_is_rejected() {
    let patch = Patch::between(&json!([1, 2, 3]), &json!([1, 2])).expect("the values differ");
    assert!(!patch.apply(&mut json!([1])));
    assert!(!patch.apply(&mut json!({})));
}
