//! Paths and headers of the HTTP protocols of engines and platform services.

/// Path prefix of a row of the table service, followed by the row's key.
pub const TABLE_ROW: &str = "/rows/";
/// Path for listing the rows of the table service by key prefix.
pub const TABLE_LIST: &str = "/rows";
/// Path prefix of an object in the object store, followed by the object's key.
pub const OBJECT: &str = "/objects/";
/// Path of the VM list.
pub const VMS: &str = "/vms";
/// Path of an engine's text completions.
pub const ENGINE_COMPLETIONS: &str = "/v1/completions";
/// Path of an engine's chat completions.
pub const ENGINE_CHAT: &str = "/v1/chat/completions";
/// Path for loading an adapter into an engine.
pub const ENGINE_LOAD_ADAPTER: &str = "/v1/load_lora_adapter";
/// Path for unloading an adapter from an engine.
pub const ENGINE_UNLOAD_ADAPTER: &str = "/v1/unload_lora_adapter";
/// Path for listing the adapters loaded on an engine.
pub const ENGINE_ADAPTERS: &str = "/v1/adapters";
/// Path for cancelling a call on an engine.
pub const ENGINE_CANCEL: &str = "/v1/cancel";
/// Path of an engine's load statistics, which lag behind its state.
pub const ENGINE_LOAD: &str = "/load";
/// Path of an engine's prefix cache events, which are delayed and may be incomplete.
pub const ENGINE_CACHE_EVENTS: &str = "/cache_events";
/// Path for changing an engine's role.
pub const ENGINE_ROLE: &str = "/v1/role";
/// Path for loading a base model into an engine.
pub const ENGINE_MODEL: &str = "/v1/load_model";

/// Header with the fencing token of an order.
pub const FENCE_HEADER: &str = "x-fence";
/// Header with the id of a call.
pub const CALL_ID_HEADER: &str = "x-call-id";
