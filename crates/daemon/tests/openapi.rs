//! The committed OpenAPI description is current.

use expect_test::expect_file;

#[test]
fn the_committed_description_is_current() {
    // After a change of the API, run this test with UPDATE_EXPECT=1.
    expect_file!["../../../docs/openapi.json"].assert_eq(&sassafrasmastd::api::openapi().unwrap());
}
