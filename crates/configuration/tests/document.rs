//! Tests of parsing, checking and comparing documents, and of records.

mod common;

use common::{DOCUMENT, FakeKeyValueService};
use dahlia_configuration::{ConfigurationRecord, Document, RecordError, differences};
use dahlia_types::TenantId;

/// The error message for a document that is not valid.
fn parse_error(document: &str) -> String {
    Document::parse(document).expect_err("the document is not valid").to_string()
}

#[test]
fn an_invalid_document_is_refused_with_field_value_and_allowed_values() {
    let invalid_documents = [
        "models = 3".to_owned(),
        "[defaults]\nbudget = 3".to_owned(),
        "[defaults]\nmodel = \"gpt\"".to_owned(),
        DOCUMENT.replace("version = \"3\"", "version = \"4\""),
        DOCUMENT.replace("\"e3\"]", "\"e4\"]"),
        DOCUMENT.replace("[engines.e1]", "[engines.e1]\nrole = \"resting\""),
        DOCUMENT.replace("[engines.e1]", "[engines.e1]\nslots = 0"),
        DOCUMENT.replace("[engines.e1]", "least_serving = 4\n[engines.e1]"),
        DOCUMENT.replace("weight_bytes", "least_serving = 0\nweight_bytes"),
    ];
    let messages: Vec<String> =
        invalid_documents.iter().map(|document| parse_error(document)).collect();
    insta::assert_snapshot!(messages.join("\n---\n"));
    let large = format!("# {}", "x".repeat(300_000));
    assert!(parse_error(&large).contains("300002 bytes"));
}

#[test]
fn a_document_that_drains_every_engine_of_a_model_is_refused() {
    let drained = DOCUMENT.replace("]\n[engines", "]\nrole = \"draining\"\n[engines");
    let drained = format!("{}role = \"draining\"\n", drained);
    let refused = parse_error(&drained);
    assert!(refused.contains("at least 1 engines that do not drain"), "{refused}");
}

#[test]
fn a_tenants_exceptions_leave_its_other_limits_at_the_defaults() {
    let text = "[tenant_defaults]\nopen_calls = 7\n[tenants.solano]\nopen_programs = 9\n";
    let document = Document::parse(text).expect("the document is valid");
    let limits = document.limits_of(&TenantId::new("solano"));
    assert_eq!((limits.open_calls, limits.open_programs), (7, 9));
    let others = document.limits_of(&TenantId::new("bayou"));
    assert_eq!(others, document.tenant_defaults);
}

#[test]
fn differences_name_each_changed_field() {
    let before = Document::parse(DOCUMENT).expect("the document is valid");
    let text = DOCUMENT.replace("[engines.e3]", "[engines.e3]\nrole = \"draining\"");
    let after = Document::parse(&format!(
        "draining_daemons = [4]\n{text}\n[tenants.solano]\nopen_calls = 5\n"
    ));
    let changed = differences(&before, &after.expect("the document is valid"));
    let lines: Vec<String> = changed.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(differences(&before, &before), []);
}

#[test]
fn a_record_round_trips_and_damaged_bytes_are_refused() {
    let record = FakeKeyValueService::default().accept("first", DOCUMENT);
    let decoded = ConfigurationRecord::decode(record.bytes()).expect("the record can be decoded");
    assert_eq!(decoded, *record);
    assert_eq!(decoded.text(), DOCUMENT);
    for length in 0..record.bytes().len() {
        assert!(ConfigurationRecord::decode(&record.bytes()[..length]).is_err(), "cut at {length}");
    }
    let large = vec![b' '; 1 << 20];
    assert!(matches!(ConfigurationRecord::decode(&large), Err(RecordError::Oversized { .. })));
    let text = String::from_utf8(record.bytes().to_vec()).expect("a record is UTF-8 text");
    let newer = text.replacen("\"layout\":1", "\"layout\":2", 1);
    let refused = ConfigurationRecord::decode(newer.as_bytes());
    assert_eq!(refused, Err(RecordError::UnsupportedLayout { found: 2, supported: 1 }));
}

#[test]
fn a_document_round_trips_through_its_text() {
    let document = Document::parse(DOCUMENT).expect("the document is valid");
    assert_eq!(Document::parse(&document.to_text()), Ok(document));
}
