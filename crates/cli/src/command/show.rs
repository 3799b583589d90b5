//! `get` and `describe`.

use spec::api::ListView;
use spec::api::ResourceView;
use spec::prelude::Kind;
use spec::status::ConditionKind;

use super::print_json;
use crate::args::Output;
use crate::failure::Failure;
use crate::servers::Servers;
use crate::table::Table;

/// Shows all resources of a kind.
pub(super) async fn list(servers: &Servers, kind: Kind, output: Output) -> Result<(), Failure> {
    let list: ListView = servers.read(&format!("/api/v1/{kind}")).await?;
    match output {
        Output::Json => print_json(&list),
        Output::Table => print!("{}", table(&list.items)),
    }
    Ok(())
}

/// Shows one resource.
pub(super) async fn get(
    servers: &Servers,
    kind: Kind,
    name: &str,
    output: Output,
) -> Result<(), Failure> {
    let view: ResourceView = servers.read(&format!("/api/v1/{kind}/{name}")).await?;
    match output {
        Output::Json => print_json(&view),
        Output::Table => print!("{}", table(&[view])),
    }
    Ok(())
}

/// Shows one resource with its spec and conditions.
pub(super) async fn describe(
    servers: &Servers,
    kind: Kind,
    name: &str,
    output: Output,
) -> Result<(), Failure> {
    let view: ResourceView = servers.read(&format!("/api/v1/{kind}/{name}")).await?;
    if output == Output::Json {
        print_json(&view);
        return Ok(());
    }
    println!("{}/{} at revision {}\n", view.kind, view.name, view.revision);
    let mut conditions = Table::new(&["CONDITION", "HOLDS", "REASON", "MESSAGE"]);
    for condition in &view.status.conditions {
        conditions.row([
            name_of(condition.kind).to_owned(),
            condition.holds.to_string(),
            condition.reason.to_string(),
            condition.message.to_string(),
        ]);
    }
    println!("{conditions}");
    print_json(&view.spec);
    Ok(())
}

fn name_of(kind: ConditionKind) -> &'static str {
    match kind {
        ConditionKind::Accepted => "accepted",
        ConditionKind::Ready => "ready",
        ConditionKind::Placeable => "placeable",
        ConditionKind::Drained => "drained",
    }
}

fn table(items: &[ResourceView]) -> Table {
    let mut table = Table::new(&["NAME", "REVISION", "STATUS", "MESSAGE"]);
    for item in items {
        // Shows the first condition that does not hold, else the last one: the first is always
        // `accepted` and says the least.
        let last = item.status.conditions.last();
        let failing = item.status.conditions.iter().find(|condition| !condition.holds);
        let shown = failing.or(last);
        table.row([
            item.name.to_string(),
            item.revision.to_string(),
            shown.map(|condition| condition.reason.to_string()).unwrap_or_default(),
            shown.map(|condition| condition.message.to_string()).unwrap_or_default(),
        ]);
    }
    table
}
