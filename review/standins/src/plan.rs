//! What a soak serves, and its faults of workers.

/// The configuration that the hosts serve.
pub const CONFIGURATION: &str = r#"{"version":1,"routes":[
{"name":"look","host":"site.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":2,"anonymousAccess":false},
{"name":"peek","host":"site.example","pathPrefix":"/peek/","kind":"idempotent","timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1,"anonymousAccess":false},
{"name":"book","host":"site.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":2,"anonymousAccess":false},
{"name":"sell","host":"site.example","pathPrefix":"/sell/","kind":"non_idempotent","timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1,"anonymousAccess":false},
{"name":"ask","host":"site.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"gapTargetMs":200,"priority":1,"service":"writer","maxAttempts":3,"anonymousAccess":false,"sessionAffinity":true,"streamResumption":true},
{"name":"tell","host":"site.example","pathPrefix":"/tell/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"gapTargetMs":200,"priority":1,"service":"writer","maxAttempts":2,"anonymousAccess":false,"sessionAffinity":true,"streamResumption":false}],
"services":[{"name":"desk","healthCheckPath":"/health","connectionLimit":100,"protocol":"h1","transportSecurity":false},
{"name":"writer","healthCheckPath":"/health","connectionLimit":364,"protocol":"h1","transportSecurity":false,"engine":{"slots":16,"kvCacheTokens":450000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"delays":[],"usual":{"prompt":13229,"answer":1541},"hopMs":0.1}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"club","apiKeys":["key-1"],"priority":1}]}"#;
/// Faults of workers, each with its largest share.
pub const FAULTS: [(&str, f64); 17] = [
    ("unread", 0.3), ("idle", 0.6), ("unnamed", 0.3), ("full", 0.5), ("again", 0.5), ("hang", 0.1), ("slow", 0.3),
    ("lost", 0.4), ("failed", 0.3), ("unframed", 0.3), ("half", 0.3), ("head", 0.2), ("extra", 0.5),
    ("helper", 0.5), ("order", 0.4), ("early", 0.5), ("copy", 0.5),
];

/// Returns the number in an environment variable, or the usual one.
pub fn setting(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Whether an environment variable with a list names `name`, or there is no such list.
pub fn is_chosen(variable: &str, name: &str) -> bool {
    std::env::var(variable).map_or(true, |list| list.split(',').any(|known| known == name))
}
