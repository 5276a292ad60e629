//! Tests of the merge of a folder: accepted documents, faults and their locations.

use std::fmt::Write as _;

use amaranth_config::folder::{ConfigSet, FolderError, SourceDocument, merge};
use rstest::rstest;

fn documents(texts: &[(&str, &str)]) -> Vec<SourceDocument> {
    texts
        .iter()
        .map(|(name, text)| SourceDocument::new(*name, *text))
        .collect()
}

fn merged(texts: &[(&str, &str)]) -> Result<ConfigSet, FolderError> {
    merge(&documents(texts))
}

fn faults(texts: &[(&str, &str)]) -> String {
    let error = merged(texts).expect_err("the folder is refused");
    let mut shown = String::new();
    for fault in error.faults() {
        writeln!(shown, "{fault}").expect("writing to a string succeeds");
    }
    shown
}

const BASE: (&str, &str) = (
    "10-base.toml",
    "[models.m]\n\n[adapters.a]\nbase = \"m\"\nversions = [1, 2]\n",
);

#[rstest]
#[case::unknown_section("unknown_section", "[adaptors.b]\nbase = \"m\"\n")]
#[case::unknown_key("unknown_key", "[adapters.b]\nbase = \"m\"\nversion = [1]\n")]
#[case::unknown_limit("unknown_limit", "[limits]\nmax-bodies = \"1 MiB\"\n")]
#[case::bad_syntax("bad_syntax", "[adapters.b\nbase = 1\n")]
#[case::bad_name("bad_name", "[adapters.\"b c\"]\nbase = \"m\"\nversions = [1]\n")]
#[case::bad_unit("bad_unit", "[limits]\nmax-body = \"1 MB\"\n")]
#[case::bad_time("bad_time", "[limits]\ndefault-deadline = \"1500us\"\n")]
#[case::bad_preset("bad_preset", "[policy]\npreset = \"fastest\"\n")]
#[case::bad_call("bad_call", "[services.s]\npath = \"/s\"\nrepeatable = [\"get /x\"]\n")]
#[case::missing_base("missing_base", "[adapters.b]\nversions = [1]\n")]
#[case::missing_use("missing_use", "[rules.r]\nmodel = \"x\"\n")]
#[case::unknown_model("unknown_model", "[adapters.b]\nbase = \"n\"\nversions = [1]\n")]
#[case::no_versions("no_versions", "[adapters.b]\nbase = \"m\"\nversions = []\n")]
#[case::unsorted_versions("unsorted_versions", "[adapters.b]\nbase = \"m\"\nversions = [2, 1]\n")]
#[case::current_not_listed(
    "current_not_listed",
    "[adapters.b]\nbase = \"m\"\nversions = [1]\ncurrent = 2\n"
)]
#[case::dangling_target("dangling_target", "[rules.r]\nmodel = \"x\"\nuse = \"y\"\n")]
#[case::dangling_version("dangling_version", "[rules.r]\nmodel = \"x\"\nuse = \"a@3\"\n")]
#[case::version_of_model("version_of_model", "[rules.r]\nmodel = \"x\"\nuse = \"m@1\"\n")]
#[case::no_weight(
    "no_weight",
    "[rules.r]\nmodel = \"x\"\nuse = [{ target = \"a\", weight = 0 }]\n"
)]
#[case::rule_shadows_adapter("rule_shadows_adapter", "[rules.r]\nmodel = \"a\"\nuse = \"m\"\n")]
#[case::same_order(
    "same_order",
    "[rules.r]\nmodel = \"x\"\nuse = \"m\"\n[rules.s]\nmodel = \"x\"\nuse = \"a\"\n"
)]
#[case::cycle(
    "cycle",
    "[rules.r]\nmodel = \"x\"\nuse = \"y\"\n[rules.s]\nmodel = \"y\"\nuse = \"x\"\n"
)]
#[case::self_cycle("self_cycle", "[rules.r]\nmodel = \"x\"\nuse = \"x\"\n")]
#[case::same_path(
    "same_path",
    "[services.s]\npath = \"/s\"\n[services.t]\npath = \"/s\"\n"
)]
#[case::reserved_path("reserved_path", "[services.s]\npath = \"/v1/chat\"\n")]
#[case::bad_path("bad_path", "[services.s]\npath = \"/s/../t\"\n")]
#[case::defined_twice("defined_twice", "[adapters.a]\nbase = \"m\"\nversions = [3]\n")]
#[case::nothing_to_override(
    "nothing_to_override",
    "[adapters.b]\noverride = true\nversions = [3]\n"
)]
#[case::override_removes_used_version(
    "override_removes_used_version",
    "[rules.r]\nmodel = \"x\"\nuse = \"a@1\"\n[adapters.a]\noverride = true\nversions = [2]\n"
)]
#[case::oversized_set(
    "oversized_set",
    "[adapter-sets.s]\nnames = \"b-{0..4000000000}\"\nbase = \"m\"\nversions = [1]\n"
)]
#[case::set_without_range(
    "set_without_range",
    "[adapter-sets.s]\nnames = \"b\"\nbase = \"m\"\nversions = [1]\n"
)]
#[case::limit_out_of_range("limit_out_of_range", "[limits]\nmax-body = \"2 GiB\"\n")]
#[case::default_deadline_above_maximum(
    "default_deadline_above_maximum",
    "[limits]\ndefault-deadline = \"2m\"\nmax-deadline = \"1m\"\n"
)]
fn refuses_a_faulty_document(#[case] name: &str, #[case] text: &str) {
    insta::with_settings!({ description => text, omit_expression => true }, {
        insta::assert_snapshot!(name, faults(&[BASE, ("20-more.toml", text)]));
    });
}

#[rstest]
fn shows_both_locations_of_a_duplicate_definition() {
    let error = merged(&[
        BASE,
        (
            "20-more.toml",
            "[adapters.a]\nbase = \"m\"\nversions = [3]\n",
        ),
    ])
    .expect_err("the folder is refused");
    let fault = &error.faults()[0];
    assert_eq!(fault.location(), Some(("20-more.toml", 1)));
    assert_eq!(fault.related_location(), Some(("10-base.toml", 3)));
    let handler = miette::GraphicalReportHandler::new_themed(miette::GraphicalTheme::none());
    let mut shown = String::new();
    handler
        .render_report(&mut shown, &error)
        .expect("writing to a string succeeds");
    insta::assert_snapshot!("duplicate_report", shown);
}

#[rstest]
fn later_documents_override_single_fields() {
    let set = merged(&[
        BASE,
        (
            "20-site.toml",
            "[adapters.a]\noverride = true\ncurrent = 1\n",
        ),
    ])
    .expect("the folder is valid");
    insta::assert_debug_snapshot!("overridden", set.entries().collect::<Vec<_>>());
}

#[rstest]
fn documents_are_merged_in_the_order_of_their_names() {
    let layered = [
        (
            "90-site.toml",
            "[limits]\nmax-tokens = 9\n[policy]\npreset = \"batch-efficiency\"\n",
        ),
        (
            "05-defaults.toml",
            "[limits]\nmax-tokens = 5\nqueue-length = 7\n",
        ),
        BASE,
    ];
    let set = merged(&layered).expect("the folder is valid");
    insta::assert_debug_snapshot!("layered", set.entries().collect::<Vec<_>>());
}

#[rstest]
fn an_adapter_of_a_set_may_be_overridden_in_the_same_document() {
    let text = "[adapter-sets.s]\nnames = \"b-{08..11}-x\"\nbase = \"m\"\nversions = [1]\n\
                [adapters.b-09-x]\noverride = true\nversions = [1, 2]\n";
    let set = merged(&[BASE, ("20-more.toml", text)]).expect("the folder is valid");
    let keys: Vec<_> = set.entries().map(|entry| entry.key().to_string()).collect();
    assert_eq!(
        keys,
        [
            "models.m",
            "adapters.a",
            "adapters.b-08-x",
            "adapters.b-09-x",
            "adapters.b-10-x",
            "adapters.b-11-x"
        ]
    );
}

#[rstest]
fn the_length_of_a_chain_of_rules_is_limited() {
    let chain = |length: usize| {
        (0..length).fold(
            "[rules.r0]\nmodel = \"x0\"\nuse = \"m\"\n".to_owned(),
            |text, number| {
                let next = number + 1;
                format!("{text}[rules.r{next}]\nmodel = \"x{next}\"\nuse = \"x{number}\"\n")
            },
        )
    };
    assert!(merged(&[BASE, ("20.toml", &chain(7))]).is_ok());
    let shown = faults(&[BASE, ("20.toml", &chain(8))]);
    assert!(shown.contains("chain of more than 8 rules"), "{shown}");
}

#[rstest]
fn the_size_of_an_entry_is_limited() {
    let callers: Vec<_> = (0..256)
        .map(|number| format!("\"{}-{number}\"", "c".repeat(100)))
        .collect();
    let text = format!(
        "[rules.r]\nmodel = \"x\"\nuse = \"m\"\ncallers = [{}]\n",
        callers.join(", ")
    );
    let shown = faults(&[BASE, ("20.toml", &text)]);
    assert!(
        shown.contains("rules.r takes more than 16384 bytes"),
        "{shown}"
    );
}

#[rstest]
fn the_number_of_listed_faults_is_limited() {
    let text = (0..500).fold(String::new(), |text, number| {
        format!("{text}[adapters.b{number}]\nbase = \"n\"\nversions = [1]\n")
    });
    let error = merged(&[BASE, ("20.toml", &text)]).expect_err("the folder is refused");
    assert_eq!(error.faults().len(), 32);
    assert!(
        error.to_string().contains("500 fault(s), of which 468"),
        "{error}"
    );
}

#[rstest]
fn the_size_and_number_of_documents_are_limited() {
    let large = " ".repeat((8 << 20) + 1);
    assert!(faults(&[("10.toml", &large)]).contains("more than 8388608 bytes"));
    let many: Vec<_> = (0..4_097)
        .map(|number| SourceDocument::new(format!("{number}.toml"), ""))
        .collect();
    let error = merge(&many).expect_err("the folder is refused");
    assert!(
        error.faults()[0]
            .message()
            .contains("more than 4096 documents")
    );
}
