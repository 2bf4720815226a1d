"""Administration interface of a control process, served over gRPC.

Operators check, compare and submit configurations, take zones out of service,
drain targets, and read status and audit trail through it. The calls and their
messages are described in ``proto/admin.proto``.
"""

import asyncio
import hmac
import re
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from siskinproxy.errors import (
    ConfigurationFormatError,
    SiskinproxyError,
    StoreError,
)
from siskinproxy.instances.configuration_state import ConfigurationInForce
from siskinproxy.logs import EventLog
from siskinproxy.operators import admin_messages as messages
from siskinproxy.operators.changes import (
    Change,
    ChangeExecutor,
    DrainChange,
    StoredConfiguration,
    SubmitChange,
    ZoneChange,
    decode_configuration,
    read_head,
)
from siskinproxy.operators.configuration import Configuration
from siskinproxy.operators.differences import (
    describe,
    find_differences,
)
from siskinproxy.operators.operational_state import (
    describe_kept,
    keep_operational_state,
)
from siskinproxy.operators.progress import InstanceState, measure_progress
from siskinproxy.operators.proto import admin_pb2
from siskinproxy.operators.proto.admin_grpc import AdministrationBase
from siskinproxy.store.audit import MAX_AUDIT_ENTRIES, read_audit
from siskinproxy.store.results import Rejected

__all__ = ('AdminServer', 'AdminService', 'AdminView')

#: Interval, in seconds, at which a watch polls the state of the instances.
WATCH_POLL_S: Final = 0.2

#: Upper limit of the timeout that a watch may request, in seconds.
MAX_WATCH_S: Final = 600.0

#: Metadata key of the token.
_TOKEN_METADATA: Final = 'token-bin'

#: Operator names and submission ids, limited since they appear in log lines and
#: in the audit trail.
_IDENTIFIER: Final = re.compile(r'\w[\w.@-]{0,62}')

_Handler = Callable[[Any], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class AdminView:
    """Access of the interface to the state of its control process.

    Parameters
    ----------
    instance : str
        Name of the instance.
    region : str
        Region of the instance.
    instances : callable
        Returns the `InstanceState` of each known instance, including this
        one.
    in_force : callable
        Returns the `ConfigurationInForce`; None before this instance has
        applied a configuration.
    """

    instance: str
    region: str
    instances: Callable[[], Iterable[InstanceState]]
    in_force: Callable[[], ConfigurationInForce | None]


class AdminService(AdministrationBase):
    """Handlers of the gRPC calls of the administration interface.

    Parameters
    ----------
    token : str
        Token that each call must carry. If it is empty, every call is
        rejected.
    view : AdminView
        Access to the state of the control process.
    executor : ChangeExecutor
        Reads, validates and changes the configuration in the store.
    log : EventLog
        Log of calls that are rejected for a missing or wrong token.
    """

    def __init__(
        self,
        token: str,
        view: AdminView,
        executor: ChangeExecutor,
        log: EventLog,
    ) -> None:
        self._token = token.encode()
        self._view = view
        self._executor = executor
        self._log = log

    async def Check(self, stream: Stream[Any, Any]) -> None:
        """Check a configuration against the rules and the stored one."""
        await self._serve(stream, self._check)

    async def Difference(self, stream: Stream[Any, Any]) -> None:
        """Compare a configuration with the one in the store."""
        await self._serve(stream, self._difference)

    async def Submit(self, stream: Stream[Any, Any]) -> None:
        """Replace the stored configuration."""
        await self._serve(stream, self._submit)

    async def SetZone(self, stream: Stream[Any, Any]) -> None:
        """Take a zone out of service or return it."""
        await self._serve(stream, self._set_zone)

    async def DrainTarget(self, stream: Stream[Any, Any]) -> None:
        """Start or end the drain of a target."""
        await self._serve(stream, self._drain_target)

    async def Status(self, stream: Stream[Any, Any]) -> None:
        """Return the state that this instance knows, without the store."""
        await self._serve(stream, self._status)

    async def Audit(self, stream: Stream[Any, Any]) -> None:
        """Return the audit trail, the newest entry first."""
        await self._serve(stream, self._audit)

    async def Watch(self, stream: Stream[Any, Any]) -> None:
        """Stream the progress of a generation.

        A message is sent at the start and after each change, until the
        generation is in effect or the timeout has passed. Generation 0 stands
        for the latest one.
        """
        self._authenticate(stream)
        req = await _receive(stream)
        generation = req.generation or await self._latest_generation()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + min(req.timeout_s, MAX_WATCH_S)
        sent = None
        while True:
            progress = measure_progress(generation, self._view.instances())
            if progress != sent:
                await stream.send_message(messages.progress_message(progress))
                sent = progress
            if progress.in_effect or loop.time() >= end_s:
                return
            await asyncio.sleep(WATCH_POLL_S)

    async def _serve(self, stream: Stream[Any, Any], handler: _Handler) -> None:
        self._authenticate(stream)
        req = await _receive(stream)
        try:
            response = await handler(req)
        except StoreError as exc:
            raise _unavailable_error(exc) from exc
        await stream.send_message(response)

    def _authenticate(self, stream: Stream[Any, Any]) -> None:
        """Reject a call without the token before its message is read."""
        offered = (stream.metadata or {}).get(_TOKEN_METADATA, b'')
        # An empty token would equal that of a call without metadata.
        if self._token and hmac.compare_digest(bytes(offered), self._token):
            return
        peer = stream.peer.addr() if stream.peer else None
        self._log.warning(
            'admin_access_denied',
            peer=peer[0] if peer else 'unknown',
        )
        raise GRPCError(
            Status.UNAUTHENTICATED,
            'wrong or missing token in metadata key token-bin',
        )

    async def _check(
        self,
        req: admin_pb2.ConfigurationRequest,
    ) -> admin_pb2.CheckResponse:
        running = await self._executor.read()
        errors: tuple[SiskinproxyError, ...]
        try:
            cfg = decode_configuration(req.configuration)
        except ConfigurationFormatError as exc:
            errors = (exc,)
        else:
            errors = self._executor.validate(
                _merge_state(cfg, running, req.overwrite_state),
                running,
            )
        return admin_pb2.CheckResponse(
            violations=messages.violation_messages(errors),
            generation=running.head.generation,
        )

    async def _difference(
        self,
        req: admin_pb2.ConfigurationRequest,
    ) -> admin_pb2.DifferenceResponse:
        running = await self._executor.read()
        response = admin_pb2.DifferenceResponse(
            generation=running.head.generation,
        )
        try:
            cfg = decode_configuration(req.configuration)
        except ConfigurationFormatError as exc:
            response.violations.extend(messages.violation_messages([exc]))
            return response
        merged = _merge_state(cfg, running, req.overwrite_state)
        response.lines.extend(_difference_lines(merged, running))
        if running.configuration is not None and not req.overwrite_state:
            _, kept = keep_operational_state(running.configuration, cfg)
            response.kept.extend(map(describe_kept, kept))
        errors = self._executor.validate(merged, running)
        response.violations.extend(messages.violation_messages(errors))
        return response

    async def _submit(
        self,
        req: admin_pb2.SubmitRequest,
    ) -> admin_pb2.ChangeResponse:
        change = SubmitChange(
            req.content.configuration,
            req.base_generation,
            req.content.overwrite_state,
        )
        return await self._execute(change, req.submission)

    async def _set_zone(
        self,
        req: admin_pb2.SetZoneRequest,
    ) -> admin_pb2.ChangeResponse:
        change = ZoneChange(req.zone, req.in_service)
        return await self._execute(change, req.submission)

    async def _drain_target(
        self,
        req: admin_pb2.DrainTargetRequest,
    ) -> admin_pb2.ChangeResponse:
        change = DrainChange(req.target, req.draining)
        return await self._execute(change, req.submission)

    async def _execute(
        self,
        change: Change,
        submission: admin_pb2.Submission,
    ) -> admin_pb2.ChangeResponse:
        _require_identifier('submission.operator', submission.operator)
        _require_identifier('submission.id', submission.id)
        result = await self._executor.execute(
            change,
            submission.operator,
            submission.id,
        )
        outcome = result.outcome
        if isinstance(outcome, Rejected) and outcome.reason == 'store':
            raise _unavailable_error(outcome.errors[0])
        return messages.change_message(result)

    async def _status(
        self,
        req: admin_pb2.StatusRequest,
    ) -> admin_pb2.StatusResponse:
        response = admin_pb2.StatusResponse(
            instance=self._view.instance,
            region=self._view.region,
            instances=messages.instance_messages(self._view.instances()),
        )
        in_force = self._view.in_force()
        if in_force is not None:
            cfg = in_force.configuration
            response.generation = in_force.generation
            response.provisional = in_force.provisional
            response.zones.extend(messages.zone_messages(cfg))
            response.services.extend(messages.service_messages(cfg))
        return response

    async def _audit(
        self,
        req: admin_pb2.AuditRequest,
    ) -> admin_pb2.AuditResponse:
        entries = await read_audit(
            self._executor.client,
            self._view.region,
            req.limit or MAX_AUDIT_ENTRIES,
        )
        return admin_pb2.AuditResponse(
            entries=list(map(messages.audit_message, entries)),
        )

    async def _latest_generation(self) -> int:
        """Return the generation in the store.

        Return the one in force at this instance if it is higher or if the
        store cannot be read.
        """
        in_force = self._view.in_force()
        generation = in_force.generation if in_force is not None else 0
        try:
            found = await read_head(self._executor.client, self._view.region)
        except StoreError:
            return generation
        return max(found.generation, generation)


class AdminServer:
    """gRPC server of the administration interface.

    Parameters
    ----------
    service : AdminService
        Handlers of the calls.
    host : str
        Numeric address to listen on.
    port : int
        TCP port.
    """

    def __init__(self, service: AdminService, host: str, port: int) -> None:
        self._service = service
        self._host = host
        self._port = port
        self._server: Server | None = None

    async def start(self) -> None:
        """Start to accept calls.

        Raises
        ------
        OSError
            If the server cannot listen on the address and port.
        """
        # grpclib binds the server to the event loop that runs when it is
        # created.
        self._server = Server([self._service])
        await self._server.start(self._host, self._port)

    async def close(self) -> None:
        """Stop listening and cancel the calls in progress."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        self._server = None


async def _receive(stream: Stream[Any, Any]) -> Any:
    req = await stream.recv_message()
    if req is None:
        raise GRPCError(
            Status.INVALID_ARGUMENT, 'call ended without a request message'
        )
    return req


def _unavailable_error(exc: SiskinproxyError) -> GRPCError:
    detail = f'{type(exc).__name__}: {exc}'
    return GRPCError(Status.UNAVAILABLE, detail)


def _require_identifier(field: str, found: str) -> None:
    if not _IDENTIFIER.fullmatch(found):
        raise GRPCError(
            Status.INVALID_ARGUMENT,
            f'{field} must have 1 to 63 letters, digits, "_", "-", "." or "@" '
            'and must not start with "-", "." or "@"',
        )


def _merge_state(
    cfg: Configuration,
    running: StoredConfiguration,
    overwrite_state: bool,
) -> Configuration:
    """Return the configuration that a submission would store.

    Without ``overwrite_state`` it keeps the zones out of service and the
    draining targets of the stored configuration.
    """
    if running.configuration is None or overwrite_state:
        return cfg
    return keep_operational_state(running.configuration, cfg)[0]


def _difference_lines(
    cfg: Configuration, running: StoredConfiguration
) -> list[str]:
    previous = running.configuration
    if previous is None:
        previous = Configuration(cfg.region, (), ())
    return list(map(describe, find_differences(previous, cfg)))
