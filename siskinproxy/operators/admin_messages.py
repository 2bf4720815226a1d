"""Conversion of results to messages of the administration interface."""

from collections.abc import Iterable
from typing import Final

from siskinproxy.errors import SiskinproxyError
from siskinproxy.operators.changes import ChangeResult, Unchanged
from siskinproxy.operators.configuration import Configuration, Service
from siskinproxy.operators.operational_state import describe_kept
from siskinproxy.operators.progress import GenerationProgress, InstanceState
from siskinproxy.operators.proto import admin_pb2
from siskinproxy.store.head import AuditEntry
from siskinproxy.store.results import (
    Accepted,
    Conflict,
    Rejected,
    SubmissionResult,
)

__all__ = (
    'audit_message',
    'change_message',
    'instance_messages',
    'progress_message',
    'service_messages',
    'violation_messages',
    'zone_messages',
)

_Response = admin_pb2.ChangeResponse
#: Separates, in a submission id of the store, the id that the caller sent from a
#: fingerprint of the change.
_FINGERPRINT_SEPARATOR: Final = '/'


def violation_messages(
    errors: Iterable[SiskinproxyError],
) -> list[admin_pb2.Violation]:
    """Return a message with type and text of each error."""
    return [
        admin_pb2.Violation(kind=type(exc).__name__, detail=str(exc))
        for exc in errors
    ]


def change_message(result: ChangeResult) -> admin_pb2.ChangeResponse:
    """Return the message with outcome and kept state of a change."""
    message = _outcome_message(result.outcome)
    message.kept.extend(map(describe_kept, result.kept))
    return message


def _outcome_message(
    outcome: SubmissionResult | Unchanged,
) -> admin_pb2.ChangeResponse:
    match outcome:
        case Accepted(generation=generation):
            return _Response(outcome=_Response.ACCEPTED, generation=generation)
        case Unchanged(generation=generation):
            return _Response(outcome=_Response.UNCHANGED, generation=generation)
        case Conflict(found_generation=found, reason=reason):
            return _Response(
                outcome=_Response.CONFLICT,
                generation=found,
                reason=reason,
            )
        case Rejected(errors=errors, reason=reason):
            return _Response(
                outcome=_Response.REFUSED,
                violations=violation_messages(errors),
                reason=reason,
            )
    return _Response(outcome=_Response.UNKNOWN, reason=outcome.reason)


def progress_message(progress: GenerationProgress) -> admin_pb2.Progress:
    """Return the message for the progress of a generation."""
    return admin_pb2.Progress(
        generation=progress.generation,
        in_effect=progress.in_effect,
        confirmed=progress.confirmed,
        lagging=progress.lagging,
        unreachable=progress.unreachable,
    )


def instance_messages(
    instances: Iterable[InstanceState],
) -> list[admin_pb2.Instance]:
    """Return a message for each instance, sorted by name."""
    return [
        admin_pb2.Instance(**instance._asdict())
        for instance in sorted(instances)
    ]


def zone_messages(cfg: Configuration) -> list[admin_pb2.ZoneStatus]:
    """Return a message for each zone, in the order of the configuration."""
    return [
        admin_pb2.ZoneStatus(name=zone.name, in_service=zone.in_service)
        for zone in cfg.zones
    ]


def service_messages(cfg: Configuration) -> list[admin_pb2.ServiceStatus]:
    """Return a message for each service, with its draining targets."""
    return [_service_message(service) for service in cfg.services]


def _service_message(service: Service) -> admin_pb2.ServiceStatus:
    draining = [each.name for each in service.targets if each.draining]
    return admin_pb2.ServiceStatus(
        name=service.name,
        targets=len(service.targets),
        draining=draining,
    )


def audit_message(entry: AuditEntry) -> admin_pb2.AuditEntry:
    """Return the message for an entry of the audit trail."""
    return admin_pb2.AuditEntry(
        generation=entry.generation,
        base_generation=entry.base_generation,
        operator=entry.operator,
        unix_s=entry.unix_s,
        # Without the fingerprint, it is the id that the caller sent.
        submission_id=entry.submission_id.partition(_FINGERPRINT_SEPARATOR)[0],
        summary=entry.summary,
        result=entry.result,
    )
