//! Parses the load report header of responses, and resolves the names of the figures in load reports.
//!
//! A report is a list of named figures. The node receives it in an HTTP response header, and the simulator
//! adapter in a message field, which the adapter parses itself. Each figure has two names, and either is
//! accepted from both sources.

use crate::policy::LoadReport;

/// Returns the field of a load report that holds the figure with this name. Returns `None` if the name is
/// unknown.
pub(crate) fn field_mut<'a>(report: &'a mut LoadReport, name: &str) -> Option<&'a mut Option<f64>> {
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

/// Parses the load report header of a response, such as `TEXT inflight=7, queue=2`.
///
/// Figures that have an unknown name, or a value that is not a finite number of at least 0, are left out. A
/// malformed report is not an error: reports are advisory, and the response is valid without one.
pub fn parse_header(header: &str) -> LoadReport {
    let mut report = LoadReport::default();
    let pairs = header.trim().trim_start_matches("TEXT");
    for (name, value) in pairs.split(',').filter_map(|pair| pair.trim().split_once('=')) {
        if let Some(field) = field_mut(&mut report, name.trim()) {
            let value: Option<f64> = value.trim().parse().ok();
            *field = value.filter(|value| value.is_finite() && *value >= 0.0);
        }
    }
    report
}
