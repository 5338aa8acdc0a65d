//! The paths and headers of the platform's protocols.

/// A row of the table service; the key follows.
pub const TABLE_ROW: &str = "/rows/";
/// The rows of the table service by prefix.
pub const TABLE_LIST: &str = "/rows";
/// An object of the object store; the key follows.
pub const OBJECT: &str = "/objects/";
/// The list of VMs.
pub const VMS: &str = "/vms";
/// An engine's text completions.
pub const ENGINE_COMPLETIONS: &str = "/v1/completions";
/// An engine's chat completions.
pub const ENGINE_CHAT: &str = "/v1/chat/completions";
/// Loads an adapter into an engine.
pub const ENGINE_LOAD_ADAPTER: &str = "/v1/load_lora_adapter";
/// Takes an adapter out of an engine.
pub const ENGINE_UNLOAD_ADAPTER: &str = "/v1/unload_lora_adapter";
/// Lists an engine's adapters.
pub const ENGINE_ADAPTERS: &str = "/v1/adapters";
/// Cancels a call of an engine.
pub const ENGINE_CANCEL: &str = "/v1/cancel";
/// An engine's lagging report of its load.
pub const ENGINE_LOAD: &str = "/load";
/// An engine's events of its prefix cache, late and with gaps.
pub const ENGINE_CACHE_EVENTS: &str = "/cache_events";
/// Changes an engine's role.
pub const ENGINE_ROLE: &str = "/v1/role";
/// Loads a base model into an engine.
pub const ENGINE_MODEL: &str = "/v1/load_model";

/// The header with an order's fencing number.
pub const FENCE_HEADER: &str = "x-fence";
/// The header with a call's id.
pub const CALL_ID_HEADER: &str = "x-call-id";
