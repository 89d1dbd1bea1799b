//! Rendering of workspaces: the examples, and every finding with its place.

use googletest::prelude::*;
use jy_config::render::SourceText;
use jy_config::render::render;
use jy_types::finding::Finding;
use jy_types::workspace::Urgency;
use jy_types::workspace::WorkspaceRecord;

const TEMPLATES: &str = include_str!("../../../examples/templates.jsonc");
const SEALS: &str = include_str!("../../../examples/seal-registry.jsonc");
const CHALK: &str = include_str!("../../../examples/chalkline.jsonc");

fn source(name: &str, text: &str) -> SourceText {
    SourceText {
        name: name.into(),
        text: text.to_owned(),
    }
}

/// Renders a workspace.
///
/// # Errors
///
/// The findings, one a line.
fn render_with(text: &str, templates: &str) -> std::result::Result<WorkspaceRecord, Vec<String>> {
    let load = |_: &str| Ok(source("t.jsonc", templates));
    let line = |finding: &Finding| {
        let place = &finding.place;
        format!(
            "{}:{}:{} {} / {}",
            place.source, place.line, place.column, finding.message, finding.hint
        )
    };
    render(&source("w.jsonc", text), load).map_err(|list| list.0.iter().map(line).collect())
}

/// Renders the seals' example with some text replaced and returns the findings.
///
/// # Panics
///
/// If the text is not there or nothing was found.
fn seals_with(from: &str, to: &str) -> Vec<String> {
    assert!(SEALS.contains(from), "{from} is not in the example");
    render_with(&SEALS.replacen(from, to, 1), TEMPLATES).expect_err("must have findings")
}

#[gtest]
fn render_seals_has_sizes_of_today() -> Result<()> {
    let record = render_with(SEALS, TEMPLATES).expect("no findings");
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
    let registry = record.service("registry").expect("registry");
    let batch = registry.rule("POST", "/batches/7").expect("a rule");
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
fn render_chalk_has_sizes_of_today() -> Result<()> {
    let record = render_with(CHALK, TEMPLATES).expect("no findings");
    let sizes: Vec<_> = record
        .services
        .iter()
        .map(|service| (service.slots, service.connections, service.probe_cost_ms))
        .collect();
    verify_that!(sizes, each(eq(&(9, 110, 6))))
}

#[gtest]
fn render_reports_all_findings_together() -> Result<()> {
    let text = SEALS
        .replacen("\"zones_out\"", "\"zone_out\"", 1)
        .replacen("\"slots\": 6", "\"slots\": \"six\"", 1)
        .replacen("\"deferrable\": [", "\"deferable\": [", 1);
    let findings = render_with(&text, TEMPLATES).expect_err("must have findings");
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
fn render_points_at_value_that_workspace_gave() -> Result<()> {
    let findings = seals_with("GET /archive", "FETCH /archive");
    verify_that!(
        findings,
        elements_are![starts_with("w.jsonc:17:38 unknown method \"FETCH\"")]
    )
}

#[gtest]
fn render_refuses_zones() -> Result<()> {
    let unlisted = seals_with("\"zones_out\": []", "\"zones_out\": [\"kingston-d\"]");
    verify_that!(
        unlisted,
        elements_are![contains_substring(
            "\"kingston-d\" is taken out but not listed"
        )]
    )?;
    let all = seals_with(
        "\"zones_out\": []",
        "\"zones_out\": [\"kingston-c\", \"kingston-b\", \"kingston-a\"]",
    );
    verify_that!(
        all,
        elements_are![contains_substring("takes out every zone")]
    )
}

#[gtest]
fn render_refuses_names() -> Result<()> {
    let kind = seals_with("\"kind\": \"keyed\"", "\"kind\": \"keyd\"");
    verify_that!(kind, elements_are![ends_with("did you mean \"keyed\"?")])?;
    let template = seals_with("\"exclusive-keys\"", "\"plain\"");
    verify_that!(
        template,
        elements_are![ends_with(
            "unknown template \"plain\" / known here: exclusive-keys"
        )]
    )?;
    let twice = seals_with("\"name\": \"verifier\"", "\"name\": \"registry\"");
    verify_that!(
        twice,
        elements_are![contains_substring("\"registry\" is defined twice")]
    )?;
    let unused = seals_with("\"urgency\": \"urgent\"", "\"urgency\": \"soon\"");
    verify_that!(
        unused,
        elements_are![ends_with("use one of: urgent, normal")]
    )
}

#[gtest]
fn render_refuses_missing_and_out_of_range() -> Result<()> {
    let missing = seals_with("\"slots\": 6, ", "");
    verify_that!(missing.len(), eq(3))?;
    verify_that!(
        missing[0],
        contains_substring("service \"catalogue\" needs parameter \"slots\"")
    )?;
    let range = seals_with("\"connections\": 110", "\"connections\": 0");
    verify_that!(
        range[0],
        eq("w.jsonc:11:46 0 is out of range for parameter \"connections\" / use at least 1")
    )?;
    let target = seals_with(
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
fn render_refuses_routes() -> Result<()> {
    let shadowed = TEMPLATES.replacen("[\"GET /\", \"HEAD /\"]", "[\"GET /\", \"GET /late\"]", 1);
    let findings = render_with(SEALS, &shadowed).expect_err("must have findings");
    verify_that!(
        findings,
        elements_are![contains_substring("route \"GET /late\" never matches")]
    )?;
    let deferred = TEMPLATES.replace(
        "\"idempotent\": false, \"urgency\": \"urgent\"",
        "\"idempotent\": false, \"urgency\": \"deferrable\"",
    );
    let findings = render_with(SEALS, &deferred).expect_err("must have findings");
    verify_that!(
        findings,
        each(contains_substring(
            "non-idempotent route is marked deferrable"
        ))
    )
}

#[gtest]
fn render_reports_broken_text_and_file() -> Result<()> {
    let broken = render_with("{ \"workspace\": }", TEMPLATES).expect_err("must have findings");
    verify_that!(
        broken,
        elements_are![starts_with("w.jsonc:1:16 not JSON with comments")]
    )?;
    let load = |_: &str| Err("no such file".to_owned());
    let findings = render(&source("w.jsonc", SEALS), load).expect_err("must have findings");
    verify_that!(
        findings.0[0].message,
        displays_as(contains_substring("can't be read: no such file"))
    )
}

#[gtest]
fn render_refuses_unknown_reference_of_template() -> Result<()> {
    let templates = TEMPLATES.replacen("\"${slots}\"", "\"${slot}\"", 1);
    let findings = render_with(SEALS, &templates).expect_err("must have findings");
    verify_that!(
        findings,
        elements_are![ends_with(
            "unknown parameter \"slot\" / did you mean \"slots\"?"
        )]
    )
}
