//! Load reports as endpoints write them: names and figures, in a header of HTTP or in a field of the
//! simulator.

use crate::policy::LoadReport;

/// The figure of a report that goes by this name; none for a name that is not known.
pub(crate) fn figure_mut<'a>(report: &'a mut LoadReport, name: &str) -> Option<&'a mut Option<f64>> {
    Some(match name {
        "rif" | "inflight" => &mut report.in_flight,
        "q" | "queue" => &mut report.queued,
        "busy" | "util" => &mut report.utilization,
        "lat_ms" | "latency_ms" => &mut report.latency_ms,
        "rate" | "qps" => &mut report.requests_per_second,
        "fail_rate" | "eps" => &mut report.errors_per_second,
        _ => return None,
    })
}

/// Reads the header of an answer, `TEXT inflight=7, queue=2`. What cannot be read is left out: the report
/// is advice, and the answer that carries it stands.
pub fn parse_header(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    let text = text.trim().trim_start_matches("TEXT");
    for (name, value) in text.split(',').filter_map(|pair| pair.trim().split_once('=')) {
        if let Some(figure) = figure_mut(&mut report, name.trim()) {
            let value: Option<f64> = value.trim().parse().ok();
            *figure = value.filter(|value| value.is_finite() && *value >= 0.0);
        }
    }
    report
}
