"""Output of ``siskinproxyctl``: lines of text, or JSON for programs."""

import datetime
from collections.abc import Iterator, Mapping
from functools import singledispatch
from typing import Any, Final

import msgspec
from google.protobuf.message import Message

from siskinproxy.operators.proto import admin_pb2

__all__ = ('encode_json', 'render_lines', 'message_to_dict')

_Response = admin_pb2.ChangeResponse

#: Text for each outcome that has a generation.
_OUTCOME_TEXTS: Final[Mapping[int, str]] = {
    _Response.ACCEPTED: 'accepted as generation {}',
    _Response.UNCHANGED: 'nothing to change in generation {}',
    _Response.CONFLICT: 'conflict: generation {} was accepted first',
}


def message_to_dict(message_or_field: Any) -> Any:
    """Convert a message to values that can be encoded as JSON.

    Parameters
    ----------
    message_or_field : object
        Message of the administration interface, or a field of one.

    Returns
    -------
    object
        Dict with all fields by name, or the converted field; enumeration
        values as names in lower case.
    """
    if not isinstance(message_or_field, Message):
        return message_or_field
    return {
        field.name: _plain_field(field, getattr(message_or_field, field.name))
        for field in message_or_field.DESCRIPTOR.fields
    }


def encode_json(plain: Any) -> str:
    """Return a converted message as one line of JSON without line break."""
    return msgspec.json.encode(plain).decode()


@singledispatch
def render_lines(message: Any) -> Iterator[str]:
    """Yield the lines of text that show a message.

    Parameters
    ----------
    message : message
        Response of the administration interface.

    Yields
    ------
    str
        Line without line break.

    Raises
    ------
    NotImplementedError
        If there is no text form for the type of message.
    """
    raise NotImplementedError(
        f'no text form for message type {type(message).__name__}'
    )


@render_lines.register
def _(message: admin_pb2.CheckResponse) -> Iterator[str]:
    if message.violations:
        yield from _violation_lines(message.violations)
    else:
        yield f'valid against generation {message.generation}'


@render_lines.register
def _(message: admin_pb2.DifferenceResponse) -> Iterator[str]:
    yield f'compared with generation {message.generation}'
    yield from message.lines
    if not message.lines:
        yield 'no difference'
    yield from message.kept
    yield from _violation_lines(message.violations)


@render_lines.register
def _(message: admin_pb2.ChangeResponse) -> Iterator[str]:
    text = _OUTCOME_TEXTS.get(message.outcome, '')
    if text:
        yield text.format(message.generation)
    yield from message.kept
    yield from _violation_lines(message.violations)


@render_lines.register
def _(message: admin_pb2.Progress) -> Iterator[str]:
    confirmed = len(message.confirmed)
    total = confirmed + len(message.lagging)
    yield f'generation {message.generation}: {confirmed} of {total} instances'
    if message.lagging:
        yield f'  lagging: {", ".join(message.lagging)}'
    if message.unreachable:
        yield f'  unreachable: {", ".join(message.unreachable)}'
    if message.in_effect:
        yield f'generation {message.generation} is in effect'


@render_lines.register
def _(message: admin_pb2.StatusResponse) -> Iterator[str]:
    provisional = ' (provisional)' if message.provisional else ''
    yield (
        f'region {message.region}, generation {message.generation}'
        f'{provisional}, as seen by {message.instance}'
    )
    for zone in message.zones:
        state = 'in service' if zone.in_service else 'out of service'
        yield f'zone {zone.name}: {state}'
    for service in message.services:
        draining = ', '.join(service.draining) or 'none'
        yield (
            f'service {service.name}: {service.targets} targets, '
            f'draining: {draining}'
        )
    for instance in message.instances:
        yield (
            f'instance {instance.name}: {instance.state}, '
            f'zone {instance.zone}, generation {instance.generation}'
        )


@render_lines.register
def _(message: admin_pb2.AuditResponse) -> Iterator[str]:
    for entry in message.entries:
        time = datetime.datetime.fromtimestamp(entry.unix_s, datetime.UTC)
        yield (
            f'{time:%Y-%m-%dT%H:%M:%SZ} {entry.operator} generation '
            f'{entry.base_generation} to {entry.generation} '
            f'{entry.result} {entry.submission_id}: {entry.summary}'
        )


def _violation_lines(violations: Any) -> Iterator[str]:
    for violation in violations:
        yield f'{violation.kind}: {violation.detail}'


def _plain_field(field: Any, found: Any) -> Any:
    if field.enum_type is not None:
        return field.enum_type.values_by_number[found].name.lower()
    if isinstance(found, str | bytes | int | float | Message):
        return message_to_dict(found)
    return [message_to_dict(each) for each in found]
