//! Tests workspace rendering: the examples, and findings with their locations.

use googletest::prelude::*;
use jy_config::render::SourceText;
use jy_config::render::render;
use jy_types::finding::Finding;
use jy_types::workspace::Urgency;
use jy_types::workspace::WorkspaceRecord;

const TEMPLATES: &str = include_str!("../../../examples/templates.jsonc");
const SEAL_REGISTRY: &str = include_str!("../../../examples/seal-registry.jsonc");
const CHALKLINE: &str = include_str!("../../../examples/chalkline.jsonc");

fn source(name: &str, text: &str) -> SourceText {
    SourceText {
        name: name.into(),
        text: text.to_owned(),
    }
}

/// Renders a workspace with the given templates.
///
/// # Errors
///
/// Returns the findings, each formatted on one line.
fn render_with(text: &str, templates: &str) -> std::result::Result<WorkspaceRecord, Vec<String>> {
    let load = |_: &str| Ok(source("t.jsonc", templates));
    let format_finding = |finding: &Finding| {
        let location = &finding.location;
        format!(
            "{}:{}:{} {} / {}",
            location.source, location.line, location.column, finding.message, finding.hint
        )
    };
    render(&source("w.jsonc", text), load)
        .map_err(|list| list.0.iter().map(format_finding).collect())
}

/// Renders the seal registry example with some text replaced and returns the findings.
///
/// # Panics
///
/// Panics if the example does not contain `from`, or if there are no findings.
fn seal_registry_findings(from: &str, to: &str) -> Vec<String> {
    assert!(
        SEAL_REGISTRY.contains(from),
        "the example must contain {from}"
    );
    render_with(&SEAL_REGISTRY.replacen(from, to, 1), TEMPLATES)
        .expect_err("the workspace must have findings")
}

#[gtest]
fn render_seal_registry_returns_expected_services() -> Result<()> {
    let record =
        render_with(SEAL_REGISTRY, TEMPLATES).expect("the workspace must have no findings");
    let keyed: Vec<_> = record
        .services
        .iter()
        .map(|service| (&*service.name, service.keyed))
        .collect();
    verify_that!(
        keyed,
        elements_are![
            eq(&("catalogue", false)),
            eq(&("registry", false)),
            eq(&("verifier", true))
        ]
    )?;
    verify_that!(
        record
            .services
            .iter()
            .all(|service| service.slots == 6 && service.connections == 110),
        eq(true)
    )?;
    let registry = record
        .service("registry")
        .expect("the workspace must have the service");
    let batch = registry
        .rule("POST", "/batches/7")
        .expect("a rule must match");
    verify_that!(batch.idempotent, eq(false))?;
    let archive = record
        .service("catalogue")
        .and_then(|service| service.rule("GET", "/archive/1900"));
    verify_that!(
        archive.map(|rule| rule.urgency),
        some(eq(Urgency::Deferrable))
    )
}

#[gtest]
fn render_chalkline_returns_expected_limits() -> Result<()> {
    let record = render_with(CHALKLINE, TEMPLATES).expect("the workspace must have no findings");
    let limits: Vec<_> = record
        .services
        .iter()
        .map(|service| (service.slots, service.connections, service.probe_cost_ms))
        .collect();
    verify_that!(limits, each(eq(&(9, 110, 6))))
}

#[gtest]
fn render_reports_all_findings_together() -> Result<()> {
    let text = SEAL_REGISTRY
        .replacen("\"zones_out\"", "\"zone_out\"", 1)
        .replacen("\"slots\": 6", "\"slots\": \"six\"", 1)
        .replacen("\"deferrable\": [", "\"deferable\": [", 1);
    let findings = render_with(&text, TEMPLATES).expect_err("the workspace must have findings");
    verify_that!(
        findings,
        elements_are![
            eq(
                "w.jsonc:10:3 unknown setting \"zone_out\" in a workspace / did you mean \"zones_out\"?"
            ),
            starts_with("w.jsonc:11:28 parameter \"slots\" expects a whole number, found a string"),
            starts_with("w.jsonc:17:23 unknown parameter \"deferable\" of template"),
        ]
    )
}

#[gtest]
fn render_locates_value_set_by_workspace() -> Result<()> {
    let findings = seal_registry_findings("GET /archive", "FETCH /archive");
    verify_that!(
        findings,
        elements_are![starts_with("w.jsonc:17:38 unknown method \"FETCH\"")]
    )
}

#[gtest]
fn render_rejects_invalid_zones() -> Result<()> {
    let unlisted = seal_registry_findings("\"zones_out\": []", "\"zones_out\": [\"kingston-d\"]");
    verify_that!(
        unlisted,
        elements_are![contains_substring(
            "\"kingston-d\" is in \"zones_out\" but not in \"zones\""
        )]
    )?;
    let all = seal_registry_findings(
        "\"zones_out\": []",
        "\"zones_out\": [\"kingston-c\", \"kingston-b\", \"kingston-a\"]",
    );
    verify_that!(
        all,
        elements_are![contains_substring("\"zones_out\" contains every zone")]
    )
}

#[gtest]
fn render_rejects_invalid_names() -> Result<()> {
    let kind = seal_registry_findings("\"kind\": \"keyed\"", "\"kind\": \"keyd\"");
    verify_that!(kind, elements_are![ends_with("did you mean \"keyed\"?")])?;
    let template = seal_registry_findings("\"exclusive-keys\"", "\"plain\"");
    verify_that!(
        template,
        elements_are![ends_with(
            "unknown template \"plain\" / known here: exclusive-keys"
        )]
    )?;
    let duplicate = seal_registry_findings("\"name\": \"verifier\"", "\"name\": \"registry\"");
    verify_that!(
        duplicate,
        elements_are![contains_substring("\"registry\" is defined twice")]
    )?;
    let urgency = seal_registry_findings("\"urgency\": \"urgent\"", "\"urgency\": \"soon\"");
    verify_that!(
        urgency,
        elements_are![ends_with("use one of: urgent, normal")]
    )
}

#[gtest]
fn render_rejects_missing_and_out_of_range_values() -> Result<()> {
    let missing = seal_registry_findings("\"slots\": 6, ", "");
    verify_that!(missing.len(), eq(3))?;
    verify_that!(
        missing[0],
        contains_substring("service \"catalogue\" needs parameter \"slots\"")
    )?;
    let range = seal_registry_findings("\"connections\": 110", "\"connections\": 0");
    verify_that!(
        range[0],
        eq("w.jsonc:11:46 0 is out of range for parameter \"connections\" / use at least 1")
    )?;
    let target = seal_registry_findings(
        "\"availability_percent\": 99.95",
        "\"availability_percent\": 100",
    );
    verify_that!(
        target,
        elements_are![contains_substring(
            "100 is out of range / use a number from 50 to 99.999"
        )]
    )
}

#[gtest]
fn render_rejects_invalid_routes() -> Result<()> {
    let shadowed = TEMPLATES.replacen("[\"GET /\", \"HEAD /\"]", "[\"GET /\", \"GET /late\"]", 1);
    let findings =
        render_with(SEAL_REGISTRY, &shadowed).expect_err("the workspace must have findings");
    verify_that!(
        findings,
        elements_are![contains_substring("route \"GET /late\" never matches")]
    )?;
    let deferred = TEMPLATES.replace(
        "\"idempotent\": false, \"urgency\": \"urgent\"",
        "\"idempotent\": false, \"urgency\": \"deferrable\"",
    );
    let findings =
        render_with(SEAL_REGISTRY, &deferred).expect_err("the workspace must have findings");
    verify_that!(
        findings,
        each(contains_substring(
            "non-idempotent route is marked deferrable"
        ))
    )
}

#[gtest]
fn render_reports_syntax_error_and_unreadable_templates() -> Result<()> {
    let syntax_error =
        render_with("{ \"workspace\": }", TEMPLATES).expect_err("the workspace must have findings");
    verify_that!(
        syntax_error,
        elements_are![starts_with("w.jsonc:1:16 invalid JSON with comments")]
    )?;
    let load = |_: &str| Err("no such file".to_owned());
    let findings = render(&source("w.jsonc", SEAL_REGISTRY), load)
        .expect_err("the workspace must have findings");
    verify_that!(
        findings.0[0].message,
        displays_as(contains_substring("can't be read: no such file"))
    )
}

#[gtest]
fn render_rejects_unknown_reference_in_template() -> Result<()> {
    let templates = TEMPLATES.replacen("\"${slots}\"", "\"${slot}\"", 1);
    let findings =
        render_with(SEAL_REGISTRY, &templates).expect_err("the workspace must have findings");
    verify_that!(
        findings,
        elements_are![ends_with(
            "unknown parameter \"slot\" / did you mean \"slots\"?"
        )]
    )
}
