"""Client of the administration interface with failover between endpoints.

It repeats a change whose outcome is unknown under the same submission id, so
that the change is applied at most once.
"""

import asyncio
from collections.abc import AsyncIterator, Sequence
from typing import Any, Final

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

from siskinproxy.errors import (
    AdminAccessError,
    AdminError,
    AdminOutcomeUnknownError,
    AdminRequestError,
    AdminUnreachableError,
)
from siskinproxy.operators.proto import admin_pb2
from siskinproxy.operators.proto.admin_grpc import AdministrationStub

__all__ = ('AdminClient',)

#: Timeout of a change, in seconds; longer than the time for which an instance
#: retries a change in the store.
CHANGE_TIMEOUT_S: Final = 20.0

#: Timeout of a call that changes nothing, in seconds.
READ_TIMEOUT_S: Final = 5.0

#: Timeout of connecting, in seconds. An endpoint in a zone that is cut off does
#: not refuse connections, it does not respond at all.
CONNECT_TIMEOUT_S: Final = 2.0

#: Time, in seconds, by which a watch may exceed its requested timeout.
_WATCH_MARGIN_S: Final = 5.0

_CONNECTION_ERRORS: Final = (
    OSError,
    asyncio.TimeoutError,
    StreamTerminatedError,
    ProtocolError,
    H2Error,
)
#: Metadata key of the token. The suffix makes it a binary value, since the
#: token may have characters other than ASCII.
_TOKEN_METADATA: Final = 'token-bin'

_Response = admin_pb2.ChangeResponse

#: Outcomes that are final even if an earlier attempt has an unknown outcome.
#: REFUSED is not: the earlier attempt may still reach the store.
_DEFINITE_OUTCOMES: Final = frozenset(
    (_Response.ACCEPTED, _Response.UNCHANGED, _Response.CONFLICT),
)


class _SentError(AdminError):
    """The call failed after its request was sent: it may have taken effect."""


class AdminClient:
    """Client of the administration interface of a region.

    Parameters
    ----------
    endpoints : sequence of (str, int)
        Address and port of control processes, in the order of preference.
    token : str
        Setting ``admin.token`` of the instances.
    """

    def __init__(
        self,
        endpoints: Sequence[tuple[str, int]],
        token: str,
    ) -> None:
        self._endpoints = tuple(endpoints)
        self._metadata = {_TOKEN_METADATA: token.encode()} if token else {}

    async def read(self, method: str, req: Any) -> Any:
        """Call a method that changes nothing, at one endpoint after another.

        Parameters
        ----------
        method : str
            Name of the method, such as ``Status``.
        req : message
            Request.

        Returns
        -------
        message
            Response of the first endpoint that executed the call.

        Raises
        ------
        AdminUnreachableError
            No endpoint executed the call.
        AdminAccessError
            The token is wrong.
        AdminRequestError
            An argument is malformed.
        """
        failures: list[str] = []
        remaining = list(self._endpoints)
        while remaining:
            endpoint = remaining.pop(0)
            try:
                return await self._call(
                    endpoint,
                    method,
                    req,
                    READ_TIMEOUT_S,
                )
            except (_SentError, AdminUnreachableError) as exc:
                failures.append(_describe_failure(endpoint, exc))
        raise AdminUnreachableError(_join_failures(failures))

    async def change(self, method: str, req: Any) -> admin_pb2.ChangeResponse:
        """Make a change and determine its outcome.

        A call whose outcome is unknown is repeated at least once with the
        same submission id, at the next endpoint or, if there is no other, at
        the same one.

        Parameters
        ----------
        method : {'Submit', 'SetZone', 'DrainTarget'}
            Name of the method.
        req : message
            Request with its submission.

        Returns
        -------
        ChangeResponse
            Outcome other than ``UNKNOWN``.

        Raises
        ------
        AdminOutcomeUnknownError
            The change may or may not have been accepted.
        AdminUnreachableError
            No endpoint executed the call, which had no effect.
        AdminAccessError
            The token is wrong.
        AdminRequestError
            An argument is malformed.
        """
        failures: list[str] = []
        is_unresolved = False
        # The second round serves only to determine an unknown outcome; it also
        # repeats the call if there is a single endpoint.
        remaining = list(self._endpoints * 2)
        while remaining:
            endpoint = remaining.pop(0)
            if len(failures) >= len(self._endpoints) and not is_unresolved:
                break
            try:
                response = await self._call(
                    endpoint,
                    method,
                    req,
                    CHANGE_TIMEOUT_S,
                )
            except AdminError as exc:
                if not is_unresolved and not isinstance(exc, _RETRIED_ERRORS):
                    raise
                is_unresolved = is_unresolved or isinstance(exc, _SentError)
                failures.append(_describe_failure(endpoint, exc))
                continue
            if response.outcome in _DEFINITE_OUTCOMES:
                return response
            if response.outcome == _Response.REFUSED and not is_unresolved:
                return response
            is_unresolved = True
            failures.append(f'{endpoint[0]}:{endpoint[1]} {response.reason}')
        if is_unresolved:
            raise AdminOutcomeUnknownError(
                req.submission.id, _join_failures(failures)
            )
        raise AdminUnreachableError(_join_failures(failures))

    async def watch(
        self,
        req: admin_pb2.WatchRequest,
    ) -> AsyncIterator[admin_pb2.Progress]:
        """Yield the progress of a generation until the watch ends.

        If an endpoint fails, the watch starts again at the next one, with the
        whole timeout.

        Parameters
        ----------
        req : WatchRequest
            Generation and timeout.

        Yields
        ------
        Progress
            Each change of the progress.

        Raises
        ------
        AdminUnreachableError
            No endpoint executed the call to its end.
        AdminAccessError
            The token is wrong.
        """
        failures: list[str] = []
        for endpoint in self._endpoints:
            try:
                async for progress in self._stream_progress(endpoint, req):
                    yield progress
            except (_SentError, AdminUnreachableError) as exc:
                failures.append(_describe_failure(endpoint, exc))
            else:
                return
        raise AdminUnreachableError(_join_failures(failures))

    async def _stream_progress(
        self,
        endpoint: tuple[str, int],
        req: admin_pb2.WatchRequest,
    ) -> AsyncIterator[admin_pb2.Progress]:
        channel = Channel(*endpoint)
        call_context = AdministrationStub(channel).Watch.open(
            timeout=req.timeout_s + _WATCH_MARGIN_S,
            metadata=self._metadata,
        )
        try:
            async with call_context as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_request()
                await stream.send_message(req, end=True)
                async for progress in stream:
                    yield progress
        except GRPCError as exc:
            raise _status_error(exc) from exc
        except _CONNECTION_ERRORS as exc:
            raise _SentError(f'{type(exc).__name__}: {exc}') from exc
        finally:
            channel.close()

    async def _call(
        self,
        endpoint: tuple[str, int],
        method: str,
        req: Any,
        timeout_s: float,
    ) -> Any:
        channel = Channel(*endpoint)
        call = _UnaryCall(
            getattr(AdministrationStub(channel), method),
            timeout_s,
            self._metadata,
        )
        try:
            return await call.run(req)
        except GRPCError as exc:
            raise _status_error(exc) from exc
        except _CONNECTION_ERRORS as exc:
            detail = f'{type(exc).__name__}: {exc}'
            kind = _SentError if call.sent else AdminUnreachableError
            raise kind(detail) from exc
        finally:
            channel.close()


#: Errors after which a change is tried at the next endpoint.
_RETRIED_ERRORS: Final = (_SentError, AdminUnreachableError)


class _UnaryCall:
    """Unary call that records whether its request may have been sent."""

    def __init__(
        self,
        method: Any,
        timeout_s: float,
        metadata: dict[str, bytes],
    ) -> None:
        self.sent = False
        self._method = method
        self._timeout_s = timeout_s
        self._metadata = metadata

    async def run(self, req: Any) -> Any:
        call_context = self._method.open(
            timeout=self._timeout_s,
            metadata=self._metadata,
        )
        async with call_context as stream:
            # Connects and sends the headers. The endpoint executes nothing
            # before it receives the message.
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_request()
            self.sent = True
            await stream.send_message(req, end=True)
            response = await stream.recv_message()
        if response is None:
            raise StreamTerminatedError('call ended without a response message')
        return response


def _status_error(exc: GRPCError) -> AdminError:
    match exc.status:
        case Status.UNAUTHENTICATED:
            return AdminAccessError(exc.message)
        case Status.INVALID_ARGUMENT:
            return AdminRequestError(exc.message)
        case Status.UNAVAILABLE:
            return AdminUnreachableError(exc.message)
    return _SentError(f'{exc.status.name}: {exc.message}')


def _describe_failure(endpoint: tuple[str, int], exc: AdminError) -> str:
    return f'{endpoint[0]}:{endpoint[1]} {exc}'


def _join_failures(failures: Sequence[str]) -> str:
    return '; '.join(failures)
