//! Conversions of attempt events.

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use filbertcleat_policy::AttemptEvent;
use filbertcleat_policy::AttemptEventKind;
use filbertcleat_policy::RefuseReason;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::attempt_event::Event;

/// Converts an attempt event to its message, without a report and a timestamp.
pub(crate) fn event_to_wire(event: AttemptEvent) -> v1::AttemptEvent {
    let kind = match event.kind {
        AttemptEventKind::Started { load_stall_ms, queue_wait_ms } => {
            Event::Started(v1::Started { load_stall_ms, queue_wait_ms })
        }
        AttemptEventKind::Chunk { text } => Event::Chunk(v1::Chunk { text }),
        AttemptEventKind::Done { finish_reason, tokens } => {
            Event::Done(v1::Done { finish_reason, tokens })
        }
        AttemptEventKind::Answer { status, content_type, body } => {
            Event::Answer(v1::Answer { status: u32::from(status), content_type, body })
        }
        AttemptEventKind::Refused { reason, retry_after_ms, config_version } => {
            Event::Refused(v1::Refused {
                reason: reason.as_str().to_owned(),
                retry_after_ms,
                config_version: config_version.value(),
            })
        }
        AttemptEventKind::Broken { fault, resumable } => Event::Broken(v1::Broken {
            step: fault.step.as_str().to_owned(),
            peer: fault.peer,
            reason: fault.reason,
            resumable,
        }),
    };
    v1::AttemptEvent {
        attempt: event.attempt.to_string(),
        sequence: event.sequence,
        event: Some(kind),
        replica: None,
        stamp_wall_ms: 0,
        stamp_count: 0,
    }
}

/// Converts a message to an attempt event; returns `None` if the message is malformed.
pub(crate) fn event_from_wire(event: v1::AttemptEvent) -> Option<AttemptEvent> {
    let kind = match event.event? {
        Event::Started(started) => AttemptEventKind::Started {
            load_stall_ms: started.load_stall_ms,
            queue_wait_ms: started.queue_wait_ms,
        },
        Event::Chunk(chunk) => AttemptEventKind::Chunk { text: chunk.text },
        Event::Done(done) => {
            AttemptEventKind::Done { finish_reason: done.finish_reason, tokens: done.tokens }
        }
        Event::Answer(answer) => AttemptEventKind::Answer {
            status: u16::try_from(answer.status).ok()?,
            content_type: answer.content_type,
            body: answer.body,
        },
        Event::Refused(refused) => AttemptEventKind::Refused {
            reason: RefuseReason::from_name(&refused.reason)?,
            retry_after_ms: refused.retry_after_ms,
            config_version: ConfigVersion::new(refused.config_version),
        },
        Event::Broken(broken) => AttemptEventKind::Broken {
            fault: Fault::new(
                Step::Stream,
                broken.peer,
                format!("{}: {}", broken.step, broken.reason),
            ),
            resumable: broken.resumable,
        },
    };
    Some(AttemptEvent { attempt: event.attempt.into(), sequence: event.sequence, kind })
}
