use std::fmt::Write;

use expect_test::expect_file;
use proptest::prelude::*;

use crate::{ParseIdError, ResultCode, TeamId};

#[test]
fn result_code_numbers_ascend_and_parse_back() {
    assert!(ResultCode::ALL.is_sorted_by_key(|code| code.number()));
    for code in ResultCode::ALL {
        assert_eq!(code.number().to_string().parse(), Ok(*code));
    }
}

#[test]
fn result_code_page_matches_the_codes() {
    let mut page = String::from(
        "# Result codes\n\nEvery response carries one of these numbers. `UPDATE_EXPECT=1 cargo test \
         -p rhubarbfall-core` generates this page.\n\n| number | name | execution | HTTP | meaning |\n|---|---|---|---|---|\n",
    );
    for code in ResultCode::ALL {
        writeln!(
            page,
            "| {} | `{}` | {} | {} | {} |",
            code.number(),
            code.name(),
            code.execution(),
            code.http_status(),
            code.summary()
        )
        .expect("writing to a string succeeds");
    }
    expect_file!["../../docs/RESULT_CODES.md"].assert_eq(&page);
}

#[test]
fn identifiers_reject_bad_text() {
    assert_eq!("".parse::<TeamId>(), Err(ParseIdError::Empty));
    assert_eq!(
        "a b".parse::<TeamId>(),
        Err(ParseIdError::BadCharacter(' '))
    );
    assert_eq!(
        "x".repeat(129).parse::<TeamId>(),
        Err(ParseIdError::TooLong(129))
    );
}

proptest! {
    #[test]
    fn identifiers_survive_display_and_parse(text in "[a-zA-Z0-9._:-]{1,128}") {
        let id: TeamId = text.parse().expect("the pattern is valid");
        prop_assert_eq!(id.to_string().parse::<TeamId>(), Ok(id));
    }
}
