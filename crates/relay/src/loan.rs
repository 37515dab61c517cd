//! Headers between hosts with the attempts that one lends the other, and with those that were used.

use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};
use kernel::loan::{Loan, Report};

/// Header of a request between hosts that a retry budget has counted before.
const COUNTED: HeaderName = HeaderName::from_static("x-relay-counted");
/// Header of a request between hosts with the loan: runs, rejections, and 1 if it is the last one,
/// separated by commas.
const LOAN: HeaderName = HeaderName::from_static("x-relay-loan");
/// Header of a response between hosts with the report on the loan: runs and rejections, separated by a
/// comma.
const REPORT: HeaderName = HeaderName::from_static("x-relay-report");

/// What a host states about a request that it sends to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Terms {
    /// Whether a retry budget has counted the request.
    pub is_counted: bool,
    /// The attempts that the other host may make.
    pub loan: Loan,
}

/// Adds the terms to the headers of a request.
pub(crate) fn insert_terms(headers: &mut HeaderMap, loan: Loan) {
    let Loan {
        runs,
        rejections,
        is_last,
    } = loan;
    headers.insert(COUNTED, HeaderValue::from_static("1"));
    insert(headers, LOAN, &[runs, rejections, u32::from(is_last)]);
}

/// Removes the terms from the headers of a request. A host of an earlier build states no loan.
pub(crate) fn take_terms(headers: &mut HeaderMap) -> Terms {
    let loan = headers.remove(LOAN).and_then(|value| {
        let [runs, rejections, is_last] = parse(&value)?;
        Some(Loan {
            runs,
            rejections,
            is_last: is_last != 0,
        })
    });
    Terms {
        is_counted: headers.remove(COUNTED).is_some(),
        loan: loan.unwrap_or(Loan::UNSTATED),
    }
}

/// Adds a report to the headers of a response.
pub(crate) fn insert_report(headers: &mut HeaderMap, report: Report) {
    insert(headers, REPORT, &[report.runs, report.rejections]);
}

/// Removes the report from the headers of a response, if there is a valid one.
pub(crate) fn take_report(headers: &mut HeaderMap) -> Option<Report> {
    let [runs, rejections] = parse(&headers.remove(REPORT)?)?;
    Some(Report { runs, rejections })
}

fn insert(headers: &mut HeaderMap, name: HeaderName, numbers: &[u32]) {
    let numbers: Vec<_> = numbers.iter().map(u32::to_string).collect();
    // Digits and commas are always valid.
    if let Ok(value) = HeaderValue::try_from(numbers.join(",")) {
        headers.insert(name, value);
    }
}

fn parse<const COUNT: usize>(value: &HeaderValue) -> Option<[u32; COUNT]> {
    let numbers = value.to_str().ok()?.split(',').map(str::parse);
    let numbers: Vec<u32> = numbers.collect::<Result<_, _>>().ok()?;
    numbers.try_into().ok()
}
