//! Tables of the load as several daemons know it.

use agatesill_policy::admission::{KindLoad, LoadView, ServiceLoad};
use agatesill_wire::api::LoadStatus;
use agatesill_wire::prelude::*;
use comfy_table::Table;
use serde::Serialize;

use crate::output::table;

/// Answer of one daemon.
#[derive(Clone, Debug, Serialize)]
pub struct DaemonLoad {
    /// Metrics address of the daemon.
    pub addr: String,
    /// Its answer; `None` if there is none.
    pub load: Option<LoadStatus>,
    /// Why there is no answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<ErrorBody>,
}

impl DaemonLoad {
    fn view(&self) -> Option<&LoadView> {
        Some(&self.load.as_ref()?.held.as_ref()?.view)
    }
}

/// Returns the views and refusals of each daemon, and the load of the services by the newest view
/// among them, as printed.
pub fn render(answers: &[DaemonLoad]) -> String {
    let mut daemons = table(&["daemon", "view", "age", "refuses", "refused", "returns"]);
    for answer in answers {
        daemons.add_row(daemon_row(answer));
    }
    let newest = answers
        .iter()
        .filter_map(DaemonLoad::view)
        .reduce(|newest, view| if view.is_newer_than(newest) { view } else { newest });
    match newest {
        Some(view) => format!(
            "{daemons}\nby view {} of epoch {}:\n{}\n",
            view.sequence,
            view.epoch,
            services_table(view)
        ),
        None => format!("{daemons}\nno daemon has a view of the load\n"),
    }
}

fn daemon_row(answer: &DaemonLoad) -> [String; 6] {
    let Some(load) = &answer.load else {
        let detail = answer.error.as_ref().map_or("", |error| error.detail.as_str());
        let missing = || "-".to_owned();
        let name = answer.addr.clone();
        return [name, format!("no answer: {detail}"), missing(), missing(), missing(), missing()];
    };
    let (view, age, refuses) = match &load.held {
        Some(held) => {
            let old = if held.is_old { " (old)" } else { "" };
            let refuses = if held.may_refuse() { "yes" } else { "no" };
            let view = format!("{} of epoch {}", held.view.sequence, held.view.epoch);
            (view, format!("{} ms{old}", held.age_ms), refuses)
        }
        None => ("missing".to_owned(), "-".to_owned(), "no"),
    };
    let refused: Vec<String> =
        load.refused.iter().map(|(cause, count)| format!("{count} {cause}")).collect();
    let returns = format!("{} accepted, {} refused", load.returns_accepted, load.returns_refused);
    [load.instance.clone(), view, age, refuses.to_owned(), refused.join(", "), returns]
}

fn services_table(view: &LoadView) -> Table {
    let headings = [
        "service",
        "CPUs",
        "headroom",
        "offered/s",
        "kind",
        "held",
        "waiting",
        "ahead (core-s)",
        "drain",
    ];
    let mut services = table(&headings);
    for service in &view.services {
        for (index, (kind, load)) in kinds(service).into_iter().enumerate() {
            services.add_row(service_row(service, kind, load, index == 0));
        }
    }
    services
}

fn kinds(service: &ServiceLoad) -> [(&'static str, &KindLoad); 3] {
    [
        ("plain", &service.plain),
        ("long-running", &service.long_running),
        ("best-effort", &service.best_effort),
    ]
}

/// Row of one kind of task; the first one of a service has the figures of all kinds.
fn service_row(service: &ServiceLoad, kind: &str, load: &KindLoad, is_first: bool) -> [String; 9] {
    let [name, capacity, headroom, offered] = match is_first {
        true => [
            service.service.clone(),
            thousandths(service.capacity_milli),
            thousandths(service.headroom_milli),
            thousandths(service.offered_milli_per_s),
        ],
        false => Default::default(),
    };
    let held = thousandths(load.placed_milli);
    let (waiting, ahead) = (thousandths(load.waiting_milli), thousandths(load.ahead_core_ms));
    let drain = thousandths(load.drain_milli);
    [name, capacity, headroom, offered, kind.to_owned(), held, waiting, ahead, drain]
}

/// Formats CPU thousandths as CPUs, or core-milliseconds as core-seconds.
fn thousandths(value: u64) -> String {
    format!("{:.1}", value as f64 / 1_000.0)
}
