//! What operators declare about one service.
//!
//! A declaration is a short JSON file kept with the service's code. [`parse`] reads one file and
//! reports the problems in it; [`crate::catalog::check`] then checks all declarations together.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

use crate::{Availability, ByteSize, PoolId, ServiceId, Slots, Span, TeamId};

/// What a service needs, as its operators wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Name of the service; the first segment of its requests' paths.
    pub service: ServiceId,
    /// Pool whose VMs run the service.
    pub pool: PoolId,
    /// How much of the pool the service needs.
    pub capacity: Capacity,
    /// How much of the time the service must be available.
    #[serde(default)]
    pub availability: AvailabilityRule,
    /// How maintenance may touch the service's VMs.
    #[serde(default)]
    pub maintenance: Maintenance,
    /// Which requests may be retried.
    #[serde(default)]
    pub idempotency: Idempotency,
    /// How urgent the service's requests are.
    #[serde(default)]
    pub urgency: Urgency,
    /// How long a request may take.
    #[serde(default)]
    pub deadline: DeadlineRule,
    /// How the service is shared by customers, and which team pays for it.
    #[serde(default)]
    pub quota: Quota,
    /// What happens to idempotent requests while the platform's store is down.
    #[serde(default)]
    pub store_outage: StoreOutage,
    /// Whether an answer waits until its request is in the history.
    #[serde(default)]
    pub history: HistoryRule,
}

/// Declared need for slots, and what one slot uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Slots in use on an ordinary day; the service keeps this share while others flood the pool.
    pub normal: Slots,
    /// Slots in use at the peak.
    pub peak: Slots,
    /// Cores that one slot uses.
    #[serde(default = "one")]
    pub cores: u32,
    /// Memory that one slot uses.
    #[serde(default = "default_memory")]
    pub memory: ByteSize,
    /// Accelerators that one slot uses.
    #[serde(default)]
    pub accelerators: u32,
}

/// Declared availability.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityRule {
    /// Share of time in which the service must have its normal capacity.
    pub target: Availability,
    /// Time over which the share is counted.
    pub period: Span,
}

/// Declared tolerance for maintenance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Maintenance {
    /// VMs of the pool that may be stopped at once.
    pub max_vms: u32,
    /// Racks of the pool that may have stopped VMs at once.
    pub max_racks: u32,
    /// Time between the announcement of a stop and the stop.
    pub notice: Span,
    /// Time that requests in flight get to finish.
    pub drain: Span,
}

/// Declared idempotency.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Idempotency {
    /// Applies to requests that no rule matches. Without a declaration only the methods that HTTP
    /// defines as idempotent are treated as such.
    pub default: IdempotencyDefault,
    /// First match wins.
    pub rules: Vec<IdempotencyRule>,
}

/// Idempotency of requests that no rule matches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyDefault {
    /// As HTTP defines the method: GET, HEAD, OPTIONS, PUT and DELETE are idempotent.
    #[default]
    ByMethod,
    /// All are idempotent.
    Idempotent,
    /// None is idempotent.
    NonIdempotent,
}

/// Idempotency of the requests that match a method and a path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct IdempotencyRule {
    /// Methods that match; all when empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Path below the service; a trailing `*` matches any rest.
    pub path: String,
    /// Whether matching requests may be retried.
    pub idempotent: bool,
}

/// How urgent a service's requests are, least urgent first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// May wait for hours.
    Batch,
    /// Needed the same day.
    #[default]
    Normal,
    /// Somebody is waiting for the answer.
    Interactive,
}

/// Declared time limits of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DeadlineRule {
    /// Applies to requests whose caller sets no deadline.
    pub default: Span,
    /// The longest deadline that a caller may set.
    pub max: Span,
}

/// Declared sharing between customers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Quota {
    /// Team whose quota the service's use counts against.
    pub team: Option<TeamId>,
    /// Most requests of one customer that may wait at one node.
    pub waiting_per_customer: Option<u32>,
}

/// What happens to idempotent requests while the platform's store is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum StoreOutage {
    /// They are served.
    #[default]
    Serve,
    /// They are refused without being run.
    Refuse,
}

/// When an idempotent request must be in its customer's history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum HistoryRule {
    /// Before its answer is sent, so that no node failure loses the record.
    #[default]
    BeforeAnswer,
    /// Shortly after its answer, so that the store adds no latency; a node that is killed loses
    /// its most recent records.
    AfterAnswer,
}

const fn one() -> u32 {
    1
}

const fn default_memory() -> ByteSize {
    ByteSize(1 << 30)
}

impl Default for AvailabilityRule {
    fn default() -> Self {
        let target = "99.9%".parse().expect("a constant in range");
        Self { target, period: Span(28 * 86_400_000) }
    }
}

impl Default for Maintenance {
    fn default() -> Self {
        Self { max_vms: 1, max_racks: 1, notice: Span(30_000), drain: Span(30_000) }
    }
}

impl Default for Idempotency {
    fn default() -> Self {
        Self { default: IdempotencyDefault::ByMethod, rules: Vec::new() }
    }
}

impl Default for DeadlineRule {
    fn default() -> Self {
        Self { default: Span(10_000), max: Span(60_000) }
    }
}

impl Declaration {
    /// Whether a request with this method and path may be sent more than once.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let rules = &self.idempotency.rules;
        if let Some(rule) = rules.iter().find(|rule| rule.matches(method, path)) {
            return rule.idempotent;
        }
        match self.idempotency.default {
            IdempotencyDefault::Idempotent => true,
            IdempotencyDefault::NonIdempotent => false,
            IdempotencyDefault::ByMethod => {
                matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE")
            }
        }
    }
}

impl IdempotencyRule {
    /// Whether the rule applies to requests with this method and path.
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        let path_matches = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        method_matches && path_matches
    }
}

/// One problem in a declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// File that holds the value.
    pub file: String,
    /// JSON pointer to the value.
    pub pointer: String,
    /// The value found, why it is invalid, and which values are allowed.
    pub message: String,
}

impl Problem {
    /// Creates a problem with the value at `pointer` in `file`.
    #[must_use]
    pub fn new(file: &str, pointer: &str, message: impl Into<String>) -> Self {
        Self { file: file.to_owned(), pointer: pointer.to_owned(), message: message.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.file, self.pointer, self.message)
    }
}

/// Reads the fields of one file one by one and collects the problems found.
struct Reader<'a> {
    file: &'a str,
    fields: Map<String, Value>,
    problems: Vec<Problem>,
}

impl Reader<'_> {
    fn add_problem(&mut self, pointer: &str, message: impl Into<String>) {
        self.problems.push(Problem::new(self.file, pointer, message));
    }

    fn required<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        if !self.fields.contains_key(name) {
            self.add_problem(&format!("/{name}"), "is missing");
            return None;
        }
        self.read(name)
    }

    fn optional<T: DeserializeOwned + Default>(&mut self, name: &str) -> Option<T> {
        if !self.fields.contains_key(name) {
            return Some(T::default());
        }
        self.read(name)
    }

    fn read<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let value = self.fields.remove(name)?;
        match serde_path_to_error::deserialize(value) {
            Ok(value) => Some(value),
            Err(err) => {
                let pointer = json_pointer(name, err.path());
                self.add_problem(&pointer, err.inner().to_string());
                None
            }
        }
    }
}

/// JSON pointer to the value at `path` inside the top-level field `field`.
fn json_pointer(field: &str, path: &serde_path_to_error::Path) -> String {
    use serde_path_to_error::Segment;

    let segments = path.iter().filter_map(|segment| match segment {
        Segment::Seq { index } => Some(index.to_string()),
        Segment::Map { key } => Some(key.clone()),
        Segment::Enum { variant } => Some(variant.clone()),
        Segment::Unknown => None,
    });
    let segments: Vec<String> = std::iter::once(field.to_owned()).chain(segments).collect();
    format!("/{}", segments.join("/"))
}

/// Reads one declaration.
///
/// # Errors
///
/// The problems found in the file. A section of the wrong shape gives only its first problem, so a
/// second one in the same section is reported only after the first has been fixed. Values are
/// checked against their allowed ranges only once every section has the right shape.
///
/// # Examples
///
/// ```
/// let problems = teaselgap_core::declare::parse("x.json", b"{\"pool\": \"a/b\"}").unwrap_err();
/// assert_eq!(problems.len(), 3);
/// ```
pub fn parse(file: &str, text: &[u8]) -> Result<Declaration, Vec<Problem>> {
    let fields = match serde_json::from_slice(text) {
        Ok(Value::Object(fields)) => fields,
        Ok(_) => return Err(vec![Problem::new(file, "", "is not a JSON object")]),
        Err(err) => return Err(vec![Problem::new(file, "", format!("is not JSON: {err}"))]),
    };
    let mut reader = Reader { file, fields, problems: Vec::new() };
    reader.fields.remove("$schema");
    let service = reader.required("service");
    let pool = reader.required("pool");
    let capacity = reader.required("capacity");
    let availability = reader.optional("availability");
    let maintenance = reader.optional("maintenance");
    let idempotency = reader.optional("idempotency");
    let urgency = reader.optional("urgency");
    let deadline = reader.optional("deadline");
    let quota = reader.optional("quota");
    let store_outage = reader.optional("store_outage");
    let history = reader.optional("history");
    let unknown: Vec<String> = reader.fields.keys().cloned().collect();
    for name in unknown {
        reader.add_problem(&format!("/{name}"), "is not a known field");
    }
    let declaration = (|| {
        Some(Declaration {
            service: service?,
            pool: pool?,
            capacity: capacity?,
            availability: availability?,
            maintenance: maintenance?,
            idempotency: idempotency?,
            urgency: urgency?,
            deadline: deadline?,
            quota: quota?,
            store_outage: store_outage?,
            history: history?,
        })
    })();
    let Some(declaration) = declaration else {
        return Err(reader.problems);
    };
    check_values(&declaration, &mut reader);
    if reader.problems.is_empty() { Ok(declaration) } else { Err(reader.problems) }
}

/// Names that no service may have: the first segments of paths that the nodes answer themselves.
const RESERVED_NAMES: [&str; 4] = ["-", "healthz", "readyz", "metrics"];

/// Adds a problem for each value out of its allowed range.
fn check_values(declaration: &Declaration, reader: &mut Reader<'_>) {
    let capacity = &declaration.capacity;
    if capacity.normal < Slots(1) {
        let message = format!("{} is below 1; a service needs at least one slot", capacity.normal);
        reader.add_problem("/capacity/normal", message);
    }
    if capacity.peak < capacity.normal {
        let message = format!("{} is below /capacity/normal, {}", capacity.peak, capacity.normal);
        reader.add_problem("/capacity/peak", message);
    }
    let maintenance = &declaration.maintenance;
    if maintenance.max_vms == 0 {
        reader.add_problem("/maintenance/max_vms", "0 makes maintenance impossible; at least 1");
    }
    if maintenance.max_racks == 0 {
        reader.add_problem("/maintenance/max_racks", "0 makes maintenance impossible; at least 1");
    }
    if RESERVED_NAMES.contains(&declaration.service.as_str()) {
        let message =
            format!("{} is reserved: nodes answer this path themselves", declaration.service);
        reader.add_problem("/service", message);
    }
    let deadline = &declaration.deadline;
    if deadline.default == Span(0) {
        reader.add_problem("/deadline/default", "is zero; no request could be answered");
    }
    if deadline.max < deadline.default {
        let message = format!("{} is below /deadline/default, {}", deadline.max, deadline.default);
        reader.add_problem("/deadline/max", message);
    }
    for (i, rule) in declaration.idempotency.rules.iter().enumerate() {
        if !rule.path.starts_with('/') {
            let message = format!("{:?} does not start with a slash", rule.path);
            reader.add_problem(&format!("/idempotency/rules/{i}/path"), message);
        }
    }
}

/// The JSON Schema of a declaration, for editors and external validators.
#[must_use]
pub fn schema() -> Value {
    schemars::schema_for!(Declaration).to_value()
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn declaration(extra: &str) -> Vec<u8> {
        let text = format!(
            r#"{{"service":"orders","pool":"shop","capacity":{{"normal":2,"peak":4}}{extra}}}"#
        );
        text.into_bytes()
    }

    #[test]
    fn every_problem_of_a_file_is_reported() {
        let text =
            br#"{"service":"a b","capacity":{"normal":"x","peak":1},"colour":1,"urgency":"now"}"#;

        let problems = parse("f.json", text).unwrap_err();

        let pointers: Vec<_> = problems.iter().map(|p| p.pointer.as_str()).collect();
        assert_eq!(pointers, ["/service", "/pool", "/capacity/normal", "/urgency", "/colour"]);
    }

    #[test]
    fn a_value_out_of_range_names_the_file_the_pointer_and_the_value() {
        let text = br#"{"service":"a","pool":"p","capacity":{"normal":0,"peak":1}}"#;

        let problems = parse("declarations/previews.json", text).unwrap_err();

        assert_eq!(
            problems[0].to_string(),
            "declarations/previews.json: /capacity/normal: 0 is below 1; a service needs at least one slot"
        );
    }

    #[test]
    fn the_first_matching_rule_decides_idempotency() {
        let rules = r#","idempotency":{"default":"idempotent","rules":[
            {"methods":["POST"],"path":"/orders/quote","idempotent":true},
            {"methods":["POST"],"path":"/orders/*","idempotent":false}]}"#;
        let declaration = parse("f.json", &declaration(rules)).unwrap();

        assert!(declaration.is_idempotent("POST", "/orders/quote"));
        assert!(!declaration.is_idempotent("POST", "/orders/7"));
        assert!(declaration.is_idempotent("POST", "/elsewhere"));
    }

    #[test]
    fn a_post_is_not_idempotent_unless_declared() {
        let declaration = parse("f.json", &declaration("")).unwrap();

        assert!(!declaration.is_idempotent("POST", "/x"));
        assert!(declaration.is_idempotent("GET", "/x"));
    }

    proptest! {
        #[test]
        fn any_bytes_give_a_declaration_or_a_problem(text in proptest::collection::vec(any::<u8>(), 0..200)) {
            if let Err(problems) = parse("f.json", &text) {
                prop_assert!(!problems.is_empty());
            }
        }

        #[test]
        fn an_accepted_declaration_round_trips(normal in 1u32..100, extra in 0u32..100, vms in 1u32..9) {
            let text = format!(
                r#"{{"service":"s","pool":"p","capacity":{{"normal":{normal},"peak":{}}},"maintenance":{{"max_vms":{vms}}}}}"#,
                normal + extra
            );
            let declaration = parse("f.json", text.as_bytes()).unwrap();
            let reparsed = parse("f.json", &serde_json::to_vec(&declaration).unwrap()).unwrap();
            prop_assert_eq!(declaration, reparsed);
        }
    }
}
