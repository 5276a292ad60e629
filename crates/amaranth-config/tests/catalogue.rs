//! Tests of the resolution of models and services with the catalogue of a merged folder.

use amaranth_config::catalogue::{Catalogue, ConfigEdit, MAX_CATALOGUE_BYTES};
use amaranth_config::entries::{ConfigEntry, PolicyPreset, RuleEntry, RuleTarget};
use amaranth_config::folder::{SourceDocument, merge};
use amaranth_core::ids::{CallerId, ConfigRevision};
use amaranth_core::request::RequestPriority;
use rstest::rstest;

const FOLDER: &str = r#"
[models.tin-llm]

[adapters.sapporo-paint]
base = "tin-llm"
versions = [1, 2]

[adapters.manifest-reader]
base = "tin-llm"
versions = [3, 4, 5]
current = 4

[adapter-sets.depots]
names = "depot-{001..120}-residue"
base = "tin-llm"
versions = [1]

[rules.residue]
model = "residue"
callers = ["depot-*"]
use = "{caller}-residue"
priority = "high"

[rules.manifest-trial]
model = "manifest"
callers = ["sapporo-yard"]
use = "manifest-reader@5"

[rules.manifest]
model = "manifest"
order = 10
use = "manifest-reader"

[rules.scan]
model = "scan"
use = [
  { target = "manifest", weight = 1 },
  { target = "tin-llm", weight = 0 },
]

[services.member-desk]
path = "/member-desk"
repeatable = ["POST /credit/check"]
once = ["GET /slots/next"]

[services.member-desk-archive]
path = "/member-desk/archive"

[endpoints.engines]
endpoints = "tin-llm-*"
checks-orders = true

[endpoints.old-engines]
endpoints = "tin-llm-old-*"
checks-orders = false

[limits]
default-deadline = "30s"
store-loads = "4/s"

[policy]
preset = "batch-efficiency"
"#;

fn catalogue() -> Catalogue {
    let documents = [SourceDocument::new("10-all.toml", FOLDER)];
    let set = merge(&documents).expect("the folder is valid");
    set.to_catalogue(ConfigRevision(7))
}

fn caller(name: &str) -> CallerId {
    name.parse().expect("the caller is valid")
}

#[rstest]
#[case::base("tin-llm", "anyone", "tin-llm", None)]
#[case::current_is_last("sapporo-paint", "anyone", "sapporo-paint@2", None)]
#[case::current_is_given("manifest-reader", "anyone", "manifest-reader@4", None)]
#[case::exact_version("manifest-reader@3", "anyone", "manifest-reader@3", None)]
#[case::trial_caller(
    "manifest",
    "sapporo-yard",
    "manifest-reader@5",
    Some("manifest-trial")
)]
#[case::other_caller("manifest", "otaru-yard", "manifest-reader@4", Some("manifest"))]
#[case::chain("scan", "sapporo-yard", "manifest-reader@5", Some("scan"))]
#[case::named_by_caller("residue", "depot-007", "depot-007-residue@1", Some("residue"))]
fn resolves_a_model(
    #[case] model: &str,
    #[case] caller_name: &str,
    #[case] target: &str,
    #[case] rule: Option<&str>,
) {
    let resolved = catalogue()
        .resolve_model(model, &caller(caller_name))
        .expect("the model resolves");
    assert_eq!(resolved.target.to_string(), target);
    let applied = resolved.rule.as_ref().map(|rule| rule.as_str());
    assert_eq!(applied, rule);
    assert_eq!(resolved.revision, ConfigRevision(7));
}

#[rstest]
#[case::no_such_name("paint", "anyone", "model \"paint\" does not exist at revision 7")]
#[case::no_such_version(
    "sapporo-paint@3",
    "anyone",
    "model \"sapporo-paint@3\" does not exist"
)]
#[case::version_of_model("tin-llm@1", "anyone", "model \"tin-llm@1\" does not exist")]
#[case::caller_not_admitted("residue", "otaru", "no rule for model \"residue\" admits caller")]
#[case::no_adapter_of_caller("residue", "depot-999", "rule \"residue\" has target \"depot-999")]
fn refuses_an_unknown_model(#[case] model: &str, #[case] caller_name: &str, #[case] message: &str) {
    let error = catalogue()
        .resolve_model(model, &caller(caller_name))
        .expect_err("the model does not resolve");
    assert!(error.message.contains(message), "{}", error.message);
}

#[rstest]
#[case::nine_to_one(9_000, 1_000)]
fn callers_are_distributed_by_weight(#[case] major: u16, #[case] minor: u16) {
    let text = format!(
        "[models.m]\n[adapters.a]\nbase = \"m\"\nversions = [1, 2]\n[rules.r]\nmodel = \"r\"\n\
         use = [{{ target = \"a@1\", weight = {major} }}, {{ target = \"a@2\", weight = {minor} }}]"
    );
    let set = merge(&[SourceDocument::new("a", text)]).expect("the folder is valid");
    let catalogue = set.to_catalogue(ConfigRevision(1));
    let minor_count = (0..10_000)
        .map(|number| caller(&format!("caller-{number}")))
        .filter(|caller| {
            let resolved = catalogue
                .resolve_model("r", caller)
                .expect("the model resolves");
            resolved.target.to_string() == "a@2"
        })
        .count();
    assert!(
        (900..1_100).contains(&minor_count),
        "{minor_count} of 10000"
    );
}

#[rstest]
#[case::get("GET", "/member-desk/slots", Some(("member-desk", true)))]
#[case::post("POST", "/member-desk/bookings", Some(("member-desk", false)))]
#[case::listed("POST", "/member-desk/credit/check?depot=3", Some(("member-desk", true)))]
#[case::listed_once("GET", "/member-desk/slots/next", Some(("member-desk", false)))]
#[case::longest_path("GET", "/member-desk/archive/1", Some(("member-desk-archive", true)))]
#[case::root("PUT", "/member-desk", Some(("member-desk", false)))]
#[case::whole_segments_only("GET", "/member-desks", None)]
fn routes_paths_to_services(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: Option<(&str, bool)>,
) {
    let catalogue = catalogue();
    let found = catalogue.service_for_path(path);
    let found = found.map(|found| (found.service.name.to_string(), found.is_repeatable(method)));
    let expected = expected.map(|(name, repeatable)| (name.to_owned(), repeatable));
    assert_eq!(found, expected);
}

#[rstest]
fn keeps_the_query_of_a_path() {
    let catalogue = catalogue();
    let found = catalogue.service_for_path("/member-desk?depot=3");
    assert_eq!(
        found.map(|found| found.path.into_owned()),
        Some("/?depot=3".to_owned())
    );
}

#[rstest]
#[case("tin-llm-4", true)]
#[case("tin-llm-old-4", false)]
#[case("member-desk-1", false)]
fn reports_which_endpoints_check_fencing_tokens(#[case] endpoint: &str, #[case] checks: bool) {
    let endpoint = endpoint.parse().expect("the endpoint is valid");
    assert_eq!(catalogue().checks_orders(&endpoint), checks);
}

#[rstest]
fn returns_limits_and_policy() {
    let catalogue = catalogue();
    assert_eq!(catalogue.limits().default_deadline.as_secs(), 30);
    assert_eq!(catalogue.limits().store_loads.to_string(), "4/s");
    assert_eq!(catalogue.limits().loads_in_transit, 8);
    assert_eq!(catalogue.policy(), PolicyPreset::BatchEfficiency);
    assert_eq!(catalogue.adapter_count(), 122);
}

/// Returns an edit that puts a rule with an encoded size of about 12 KB.
fn large_rule(number: usize) -> ConfigEdit {
    let callers = (0..120).map(|caller| format!("{caller:0100}"));
    ConfigEdit::Put(ConfigEntry::Rule(RuleEntry {
        name: format!("r{number}").parse().expect("the name is valid"),
        model: format!("x{number}").parse().expect("the name is valid"),
        callers: callers
            .map(|name| name.parse().expect("the pattern is valid"))
            .collect(),
        order: 0,
        targets: std::iter::once(RuleTarget {
            name: "{caller}".parse().expect("the target is valid"),
            weight: 1,
        })
        .collect(),
        priority: RequestPriority::Normal,
    }))
}

#[rstest]
fn the_total_size_of_entries_is_limited() {
    let count = MAX_CATALOGUE_BYTES / 12_000;
    let edits: Vec<_> = (0..count + 10).map(large_rule).collect();
    let (first, second) = edits.split_at(count / 2);
    let half = Catalogue::default()
        .with_edits(ConfigRevision(1), first)
        .expect("half of the entries are within the limit");
    let problems = half
        .with_edits(ConfigRevision(2), second)
        .expect_err("all entries together exceed the limit");
    assert_eq!(
        problems[0].to_string(),
        format!("the configuration has more than {MAX_CATALOGUE_BYTES} bytes of entries")
    );
    let removals: Vec<_> = first
        .iter()
        .map(|edit| ConfigEdit::Remove(edit.key()))
        .collect();
    let emptied = half
        .with_edits(ConfigRevision(2), &removals)
        .expect("entries without users can be removed");
    assert!(emptied.with_edits(ConfigRevision(3), first).is_ok());
}
