//! Patches of the operators.

use filbertcleat_base::ConfigVersion;
use filbertcleat_config::Patch;
use filbertcleat_config::PatchError;
use filbertcleat_operate::EventKind;
use tokio::sync::oneshot;

use crate::config::ConfigEvent;
use crate::config::publish;
use crate::input::Input;
use crate::input::tell;
use crate::node::Node;

/// Checks a patch against the version in force and submits it.
pub(super) fn submit(
    node: &mut Node,
    patch: Patch,
    reply: oneshot::Sender<Result<ConfigVersion, PatchError>>,
) {
    let detail = format!("id={} operator={} base={}", patch.id, patch.operator, patch.base);
    node.note(EventKind::Patch, None, detail);
    let checked = if node.config.is_confirmed() {
        node.config.current().apply(&patch).map(drop)
    } else {
        Err(PatchError::Unavailable { reason: "no configuration is confirmed yet".to_owned() })
    };
    if let Err(refusal) = checked {
        node.follow_store_now();
        let _ = reply.send(Err(refusal));
        return;
    }

    let table = node.table.clone();
    let inputs = node.inputs.clone();
    tokio::spawn(async move {
        let outcome = publish(&table, patch.clone()).await;
        tell(&inputs, Input::Config(ConfigEvent::Published { patch, outcome, reply }));
    });
}
