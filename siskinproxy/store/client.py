"""Client of the platform's key-value store: interface and gRPC version.

Each failure is reported as an error that tells whether a write may have taken
effect, since a caller may repeat a write only if it knows that.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any, Final, Protocol

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

from siskinproxy.errors import (
    LeaseLostError,
    StoreAccessError,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreRateLimitError,
    StoreUnavailableError,
    StoreValueSizeError,
)
from siskinproxy.store.proto import store_pb2
from siskinproxy.store.proto.store_grpc import KeyValueStoreStub

__all__ = (
    'ABSENT',
    'MAX_VALUE_BYTES',
    'GrpcKeyValueClient',
    'KeyValue',
    'KeyValueClient',
)

#: Largest value that the store accepts.
MAX_VALUE_BYTES: Final = 1_000_000

#: Timeout of a call, connecting included. The store answers in milliseconds,
#: so a call that takes this long has failed.
CALL_TIMEOUT_S: Final = 2.0

#: Time beyond the timeout of a watch that the client waits for the response.
WATCH_TIMEOUT_MARGIN_S: Final = 2.0

#: Number of consecutive timeouts after which the client closes its connection
#: and opens a new one. After a network partition, TCP retransmission may take
#: minutes to resume an established connection.
MAX_CONSECUTIVE_TIMEOUTS: Final = 3

#: Metadata key of the token that identifies a client.
_TOKEN_METADATA: Final = 'token'

#: Errors raised when the connection fails. ``ProtocolError`` and ``H2Error``
#: occur when the connection closes while a call is being set up.
_CONNECTION_ERRORS: Final = (
    OSError,
    asyncio.TimeoutError,
    StreamTerminatedError,
    ProtocolError,
    H2Error,
)


@dataclass(frozen=True, slots=True)
class KeyValue:
    """Value of a key and its version.

    Parameters
    ----------
    value : bytes
        The value; empty if the key is absent.
    version : int
        Version of the value; 0 if the key is absent.
    """

    value: bytes
    version: int


#: Value that is returned for a key that does not exist.
ABSENT: Final = KeyValue(b'', 0)


class KeyValueClient(Protocol):
    """Interface of a client of the key-value store.

    Every method may raise `StoreUnavailableError`, `StoreRateLimitError` or
    `StoreAccessError`; the call then had no effect. Methods that write may also
    raise `StoreOutcomeUnknownError`.
    """

    async def get(self, key: str) -> KeyValue:
        """Return the value of a key, `ABSENT` if there is none."""

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        lease_id: int = 0,
    ) -> KeyValue:
        """Write a value if the key has the expected version.

        Parameters
        ----------
        key : str
            Key to write.
        value : bytes
            New value, at most `MAX_VALUE_BYTES`.
        expected_version : int
            Version that the key must have; 0 if it must be absent.
        lease_id : int
            The key is removed when this lease ends; 0 for no lease.

        Returns
        -------
        KeyValue
            The new value with its version.

        Raises
        ------
        StoreConflictError
            The key has another version; nothing was written.
        LeaseLostError
            The lease does not exist any more; nothing was written.
        StoreValueSizeError
            The value is larger than `MAX_VALUE_BYTES`; nothing was written.
        StoreOutcomeUnknownError
            The value may or may not have been written.
        """

    async def list(self, prefix: str) -> tuple[tuple[str, KeyValue], ...]:
        """Return all keys with a prefix and their values, sorted by key."""

    async def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease that lasts for some seconds."""

    async def keep_alive(self, lease_id: int) -> None:
        """Restart the duration of a lease.

        Raises
        ------
        LeaseLostError
            The lease expired or was revoked.
        """

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and remove all of its keys.

        Raises
        ------
        LeaseLostError
            The lease expired or was revoked.
        """

    async def watch(
        self,
        key: str,
        after_version: int,
        timeout_s: float,
    ) -> KeyValue:
        """Wait until a key has another version than the given one.

        Parameters
        ----------
        key : str
            Key to watch.
        after_version : int
            Version that the caller knows.
        timeout_s : float
            Time after which the current value is returned unchanged.

        Returns
        -------
        KeyValue
            Current value of the key.
        """


def _unsent_error(exc: Exception) -> StoreError:
    """Return the error of a call that failed before it was sent."""
    return StoreUnavailableError(f'reason="{type(exc).__name__}: {exc}"')


def _sent_error(kind: str, writes: bool, exc: Exception) -> StoreError:
    """Return the error of a call that was sent and not answered."""
    detail = f'call={kind} reason="{type(exc).__name__}: {exc}"'
    if writes:
        return StoreOutcomeUnknownError(detail)
    return StoreUnavailableError(detail)


def _status_error(
    kind: str,
    writes: bool,
    request: Any,
    exc: GRPCError,
) -> StoreError:
    """Return the error for the gRPC status of a response."""
    detail = f'call={kind} reason="{exc.message}"'
    match exc.status:
        case Status.RESOURCE_EXHAUSTED:
            return StoreRateLimitError(detail)
        case Status.NOT_FOUND:
            return LeaseLostError(detail)
        case Status.UNAUTHENTICATED:
            return StoreAccessError(detail)
        case Status.INVALID_ARGUMENT:
            size_bytes = len(getattr(request, 'value', b''))
            key = getattr(request, 'key', '')
            return StoreValueSizeError(key, size_bytes, MAX_VALUE_BYTES)
    # With other statuses a write may have been executed: a proxy between client
    # and store may respond with UNAVAILABLE to a call that it has forwarded.
    return _sent_error(kind, writes, exc)


class GrpcKeyValueClient:
    """Client of the key-value store over gRPC.

    Parameters
    ----------
    host : str
        Numeric address of the store.
    port : int
        TCP port of the store.
    token : str
        Identifies this client to the store; empty for none.
    call_timeout_s : float
        Timeout of each call but a watch, connecting included.

    Attributes
    ----------
    calls : Counter of str
        Number of calls by name of the method in ``store.proto``; a watch
        counts as one call, however long it waits.
    """

    def __init__(
        self,
        host: str,
        port: int,
        token: str = '',
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.calls: Counter[str] = Counter()
        self._host = host
        self._port = port
        self._token = token
        self._call_timeout_s = call_timeout_s
        self._channel: Channel | None = None
        self._stub: KeyValueStoreStub | None = None
        self._timeouts = 0

    async def start(self) -> None:
        """Create the channel, which connects at the first call."""
        self._channel = Channel(self._host, self._port)
        self._stub = KeyValueStoreStub(self._channel)

    async def close(self) -> None:
        """Close the connection; later calls raise StoreUnavailableError."""
        if self._channel is not None:
            self._channel.close()
        self._channel = None
        self._stub = None

    async def get(self, key: str) -> KeyValue:
        """Return the value of a key, `ABSENT` if there is none."""
        response = await self._call(
            'Get',
            store_pb2.GetRequest(key=key),
            writes=False,
        )
        return KeyValue(response.value, response.version)

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        lease_id: int = 0,
    ) -> KeyValue:
        """Write a value if the key has the expected version.

        Parameters
        ----------
        key : str
            Key to write.
        value : bytes
            New value.
        expected_version : int
            Version that the key must have; 0 if it must be absent.
        lease_id : int
            The key is removed when this lease ends; 0 for no lease.

        Returns
        -------
        KeyValue
            The new value with its version.

        Raises
        ------
        StoreConflictError
            The key has another version; nothing was written.
        """
        request = store_pb2.CompareAndSwapRequest(
            key=key,
            value=value,
            expected_version=expected_version,
            lease_id=lease_id,
        )
        response = await self._call('CompareAndSwap', request, writes=True)
        if not response.swapped:
            raise StoreConflictError(key, expected_version, response.version)
        return KeyValue(value, response.version)

    async def list(self, prefix: str) -> tuple[tuple[str, KeyValue], ...]:
        """Return all keys with a prefix and their values, sorted by key."""
        response = await self._call(
            'List',
            store_pb2.ListRequest(prefix=prefix),
            writes=False,
        )
        return tuple(
            (entry.key, KeyValue(entry.value, entry.version))
            for entry in response.entries
        )

    async def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease that lasts for some seconds."""
        request = store_pb2.GrantLeaseRequest(ttl_s=ttl_s)
        response = await self._call('GrantLease', request, writes=True)
        return int(response.lease_id)

    async def keep_alive(self, lease_id: int) -> None:
        """Restart the duration of a lease."""
        request = store_pb2.Lease(lease_id=lease_id)
        await self._call('KeepAlive', request, writes=True)

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and remove all of its keys."""
        request = store_pb2.Lease(lease_id=lease_id)
        await self._call('RevokeLease', request, writes=True)

    async def watch(
        self,
        key: str,
        after_version: int,
        timeout_s: float,
    ) -> KeyValue:
        """Wait until a key has another version than the given one.

        Parameters
        ----------
        key : str
            Key to watch.
        after_version : int
            Version that the caller knows.
        timeout_s : float
            Time after which the current value is returned unchanged.

        Returns
        -------
        KeyValue
            Current value of the key.
        """
        request = store_pb2.WatchRequest(
            key=key,
            after_version=after_version,
            timeout_s=timeout_s,
        )
        response = await self._call(
            'Watch',
            request,
            writes=False,
            timeout_s=timeout_s + WATCH_TIMEOUT_MARGIN_S,
        )
        return KeyValue(response.value, response.version)

    async def _call(
        self,
        kind: str,
        request: Any,
        writes: bool,
        timeout_s: float | None = None,
    ) -> Any:
        """Make a call and translate its errors.

        Parameters
        ----------
        kind : str
            Name of the method in ``store.proto``.
        request : protobuf message
            Request of the method.
        writes : bool
            Whether the method changes the store, so that the outcome is
            unknown if the response is lost.
        timeout_s : float, optional
            Timeout; that of the client by default.

        Returns
        -------
        protobuf message
            Response of the method.

        Raises
        ------
        StoreError
            The call failed; the class of the error tells whether a write may
            have taken effect.
        """
        if self._stub is None:
            raise StoreUnavailableError(
                'reason="client has not been started or is closed"'
            )
        self.calls[kind] += 1
        method = getattr(self._stub, kind)
        call = _UnaryCall(
            method,
            request,
            timeout_s or self._call_timeout_s,
            self._token,
        )
        try:
            response = await _translate_errors(kind, writes, call)
        except StoreError as exc:
            self._count_timeout(exc)
            raise
        self._timeouts = 0
        return response

    def _count_timeout(self, exc: StoreError) -> None:
        """Close the channel after `MAX_CONSECUTIVE_TIMEOUTS` consecutive timeouts.

        The closed channel connects again at the next call.
        """
        if not isinstance(exc.__cause__, asyncio.TimeoutError):
            return
        self._timeouts += 1
        if (
            self._timeouts >= MAX_CONSECUTIVE_TIMEOUTS
            and self._channel is not None
        ):
            self._timeouts = 0
            self._channel.close()


class _UnaryCall:
    """A unary gRPC call that records whether its request was sent.

    A write whose request was not sent cannot have taken effect.
    """

    def __init__(
        self,
        method: UnaryUnaryMethod[Any, Any],
        request: Any,
        timeout_s: float,
        token: str,
    ) -> None:
        self.request = request
        self.sent = False
        self._method = method
        self._timeout_s = timeout_s
        self._metadata = {_TOKEN_METADATA: token} if token else {}

    async def run(self) -> Any:
        """Send the request and return the response message."""
        opened = self._method.open(
            timeout=self._timeout_s,
            metadata=self._metadata,
        )
        async with opened as stream:
            # Connects and sends the headers only. The store executes a call
            # after it has received the message.
            await stream.send_request()
            self.sent = True
            await stream.send_message(self.request, end=True)
            response = await stream.recv_message()
        if response is None:
            raise StreamTerminatedError(
                'the store ended the call without a response message'
            )
        return response


async def _translate_errors(
    kind: str,
    writes: bool,
    call: _UnaryCall,
) -> Any:
    """Run a call and raise its errors as a `StoreError`."""
    try:
        return await call.run()
    except GRPCError as exc:
        raise _status_error(kind, writes, call.request, exc) from exc
    except _CONNECTION_ERRORS as exc:
        if call.sent:
            raise _sent_error(kind, writes, exc) from exc
        raise _unsent_error(exc) from exc
