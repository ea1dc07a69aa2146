//! Every wire type against its schema: each value that the schema allows is read and written back
//! unchanged, a field of a later release is passed over, and no bytes make reading panic.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use kelpworks_wire as wire;

const SCHEMA: &str = include_str!("../schemas/wire.json");
/// Items of a generated list, at most.
const MAX_ITEMS: usize = 3;
/// Values tried by each property.
const CASES: u32 = 1024;
/// Bytes of a generated text that is no JSON, at most.
const MAX_BYTES: usize = 256;

/// Definitions of the schema, by name.
type Definitions = BTreeMap<String, Value>;

/// A type, as the tests see it: JSON in, and the same value as JSON out.
#[derive(Clone, Copy, Debug)]
struct WireType {
    name: &'static str,
    read: fn(&[u8]) -> serde_json::Result<Value>,
}

fn round_trip<T: DeserializeOwned + Serialize>(json: &[u8]) -> serde_json::Result<Value> {
    let value: T = serde_json::from_slice(json)?;
    serde_json::to_value(&value)
}

macro_rules! wire_types {
    ($($name:ident),+ $(,)?) => {
        &[$(WireType { name: stringify!($name), read: round_trip::<wire::$name> }),+]
    };
}

const TYPES: &[WireType] = wire_types![
    ActivationRequest,
    Activations,
    ApiError,
    ApiErrorCode,
    BusyReply,
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    CancelRequest,
    ChatChoice,
    ChatChunk,
    ChatChunkChoice,
    ChatDelta,
    ChatMessage,
    ChatRequest,
    ChatResponse,
    ClaimOutcome,
    ClaimState,
    ClaimStatusReply,
    ClaimStatusRequest,
    Class,
    CompletionChoice,
    CompletionRequest,
    CompletionResponse,
    ConfigHead,
    ConfigText,
    ConfigTextRequest,
    EngineLoad,
    EngineOrder,
    EngineState,
    ErrorBody,
    ErrorDetail,
    ConfigHead,
    ConfigText,
    ConfigTextRequest,
    MemberContact,
    MemberHealth,
    MemberSample,
    MemberUpdate,
    PeerFact,
    PeerFactKind,
    PeerMessage,
    PeerState,
    ProbeReply,
    ProbeRequest,
    Fence,
    FinishReason,
    HandleRef,
    HostEntry,
    HostList,
    HostState,
    KvBlob,
    KvExportRequest,
    LayerRange,
    LoadedRange,
    MemberContact,
    MemberHealth,
    MemberSample,
    MemberUpdate,
    Object,
    ObjectBody,
    ObjectList,
    OrderAction,
    OrderReply,
    OutputForm,
    PeerFact,
    PeerFactKind,
    PeerMessage,
    PeerState,
    ProbeReply,
    ProbeRequest,
    RefusalReason,
    Step,
    StepBatch,
    StepBatchReply,
    StepInput,
    StepOutcome,
    StepRefusal,
    StepReply,
    Usage,
    WatchEvent,
    WatchEventKind,
    WatchReply,
    WeightsReply
];

fn definitions() -> Arc<Definitions> {
    let schema: Value = serde_json::from_str(SCHEMA).expect("the schema is JSON");
    let definitions = schema["definitions"].clone();
    Arc::new(serde_json::from_value(definitions).expect("definitions by name"))
}

/// Values that a schema allows.
fn values(schema: &Value, all: &Arc<Definitions>) -> BoxedStrategy<Value> {
    if let Some(target) = schema["$ref"].as_str() {
        let name = target.rsplit('/').next().expect("a name");
        return values(&all[name], all);
    }
    if let Some(forms) = schema["oneOf"].as_array() {
        let forms: Vec<_> = forms.iter().map(|f| values(f, all)).collect();
        return proptest::strategy::Union::new(forms).boxed();
    }
    if let Some(words) = schema["enum"].as_array() {
        return prop::sample::select(words.clone()).boxed();
    }
    match schema["type"].as_str() {
        Some("string") => any::<String>().prop_map(Value::from).boxed(),
        Some("boolean") => any::<bool>().prop_map(Value::from).boxed(),
        Some("integer") => integers(schema),
        Some("array") => vec(values(&schema["items"], all), 0..=MAX_ITEMS)
            .prop_map(Value::from)
            .boxed(),
        Some("object") => objects(schema, all),
        other => panic!("a schema of type {other:?} is not known here"),
    }
}

fn integers(schema: &Value) -> BoxedStrategy<Value> {
    match schema["format"].as_str() {
        Some("uint32") => any::<u32>().prop_map(Value::from).boxed(),
        Some("uint64") => any::<u64>().prop_map(Value::from).boxed(),
        other => panic!("an integer of format {other:?} is not known here"),
    }
}

/// Objects with all required fields, and each of the others or not.
fn objects(schema: &Value, all: &Arc<Definitions>) -> BoxedStrategy<Value> {
    let required = schema["required"].as_array().expect("required fields");
    let empty = Just(Map::new()).boxed();
    let fields = schema["properties"].as_object().expect("fields");
    let join = |object: BoxedStrategy<Map<String, Value>>, (name, field): (&String, &Value)| {
        let is_required = required.iter().any(|r| r == name);
        let field = match is_required {
            true => values(field, all).prop_map(Some).boxed(),
            // A list that may be left out is left out when it is empty: the two mean the same.
            false => prop::option::of(values(field, all))
                .prop_map(|field| {
                    field.filter(|f| f.as_array().is_none_or(|list| !list.is_empty()))
                })
                .boxed(),
        };
        let name = name.clone();
        (object, field)
            .prop_map(move |(mut object, field)| {
                object.extend(field.map(|f| (name.clone(), f)));
                object
            })
            .boxed()
    };
    fields
        .iter()
        .fold(empty, join)
        .prop_map(Value::from)
        .boxed()
}

/// A type whose schema passes `filter`, and a value that its schema allows.
fn typed(filter: fn(&Value) -> bool) -> impl Strategy<Value = (WireType, Value)> {
    let all = definitions();
    let fit: Vec<WireType> = TYPES
        .iter()
        .copied()
        .filter(|t| filter(&all[t.name]))
        .collect();
    prop::sample::select(fit)
        .prop_flat_map(move |t| values(&all[t.name], &all).prop_map(move |value| (t, value)))
}

fn any_schema(_schema: &Value) -> bool {
    true
}

fn is_object(schema: &Value) -> bool {
    schema["type"] == "object"
}

fn has_required(schema: &Value) -> bool {
    schema["required"].as_array().is_some_and(|r| !r.is_empty())
}

#[test]
fn every_definition_is_tested() {
    let tested: BTreeSet<&str> = TYPES.iter().map(|t| t.name).collect();
    let definitions = definitions();
    let defined: BTreeSet<&str> = definitions.keys().map(String::as_str).collect();
    assert_eq!(tested, defined);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn schema_values_round_trip_unchanged((t, value) in typed(any_schema)) {
        let back = (t.read)(value.to_string().as_bytes());
        prop_assert_eq!(back.expect(t.name), value);
    }

    /// By design: a later release of the other side may say more. What kelpworks does not know it
    /// neither keeps nor passes on.
    #[test]
    fn unknown_field_is_ignored((t, value) in typed(is_object), extra: String) {
        let mut more = value.clone();
        more["x-later"] = json!({ "deep": [extra] });
        let back = (t.read)(more.to_string().as_bytes());
        prop_assert_eq!(back.expect(t.name), value);
    }

    /// A missing field is never made up.
    #[test]
    fn missing_required_field_is_an_error((t, value) in typed(has_required), at: prop::sample::Index) {
        let schema = &definitions()[t.name];
        let required = schema["required"].as_array().cloned().unwrap_or_default();
        let name = at.get(&required).as_str().expect("a name");
        let mut less = value;
        less.as_object_mut().expect("an object").remove(name);
        prop_assert!((t.read)(less.to_string().as_bytes()).is_err());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in vec(any::<u8>(), 0..MAX_BYTES)) {
        for t in TYPES {
            let _read = (t.read)(&bytes);
        }
    }

    /// As above, from bytes that are almost right.
    #[test]
    fn corrupted_json_does_not_panic(
        (t, value) in typed(any_schema),
        damage in vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        end: prop::sample::Index,
    ) {
        let mut bytes = value.to_string().into_bytes();
        for (at, byte) in damage {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        let _read = (t.read)(&bytes);
        let _cut = (t.read)(&bytes[..end.index(bytes.len())]);
    }
}

/// Numbers that do not fit, floats and nesting beyond any use are errors.
#[test]
fn malformed_layer_range_is_an_error() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    for body in [
        r#"{"first": -1, "end": 8}"#,
        r#"{"first": 4294967296, "end": 8}"#,
        r#"{"first": 0.5, "end": 8}"#,
        r#"{"first": 0, "first": 1, "end": 8}"#,
        r#"{"first": 0, "end": 8} trailing"#,
        "null",
        &deep,
    ] {
        let read: serde_json::Result<wire::LayerRange> = serde_json::from_str(body);
        assert!(read.is_err(), "{}", &body[..body.len().min(60)]);
    }
}
