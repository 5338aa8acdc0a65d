//! Configuration patches of operators.

use filbertcleat_base::ConfigVersion;
use filbertcleat_config::Patch;
use filbertcleat_config::PatchError;
use filbertcleat_operate::EventKind;
use tokio::sync::oneshot;

use crate::config::ConfigEvent;
use crate::config::publish;
use crate::loop_event::LoopEvent;
use crate::loop_event::send_to_loop;
use crate::node::Node;

/// Checks a patch against the version in force and publishes it; `reply` gets the outcome.
pub(super) fn submit_patch(
    node: &mut Node,
    patch: Patch,
    reply: oneshot::Sender<Result<ConfigVersion, PatchError>>,
) {
    let detail = format!("id={} operator={} base={}", patch.id, patch.operator, patch.base);
    node.record_event(EventKind::Patch, None, detail);
    let checked = if node.config.is_confirmed() {
        node.config.current().apply(&patch).map(drop)
    } else {
        Err(PatchError::Unavailable { reason: "no configuration is confirmed yet".to_owned() })
    };
    if let Err(error) = checked {
        node.fetch_config_from_store();
        let _ = reply.send(Err(error));
        return;
    }

    let table = node.table.clone();
    let loop_sender = node.loop_sender.clone();
    tokio::spawn(async move {
        let outcome = publish(&table, patch.clone()).await;
        send_to_loop(
            &loop_sender,
            LoopEvent::Config(ConfigEvent::Published { patch, outcome, reply }),
        );
    });
}
