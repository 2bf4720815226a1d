"""Transfer of the configuration between control processes.

Every message of a peer announces the generation that the peer has in force.
An instance with a lower one fetches the head of the highest generation and
then the sections that it lacks, chunk by chunk, each chunk in one datagram.
The head and the sections are opaque bytes that are named by their digest.
The state machine has no socket and no clock: its methods return a
`TransferStep` with the messages to send.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

from siskinproxy.instances.blobs import PartialBlob, ServedBlobs
from siskinproxy.instances.dissemination import TokenBucket
from siskinproxy.instances.gossip import (
    HEAD_DIGEST_BYTES,
    MAX_DATAGRAM_BYTES,
    BlobBusy,
    BlobChunk,
    BlobRequest,
    Header,
    Message,
    chunk_bytes,
)
from siskinproxy.instances.membership import Send
from siskinproxy.instances.probes import Address

__all__ = (
    'START_QUERY_S',
    'TRANSFER_KINDS',
    'ConfigurationTransfer',
    'FetchedConfiguration',
    'TransferStep',
)

#: Messages that the transfer itself counts against its byte budget; the
#: caller reports all others to `ConfigurationTransfer.charge`.
TRANSFER_KINDS: Final = (BlobRequest, BlobChunk, BlobBusy)

#: Time for which a starting instance collects the generations of its peers
#: before it fetches the highest one.
START_QUERY_S: Final = 1.0

#: Rate of all control traffic, sent and received, up to which the transfer may
#: add its own messages, and the burst. A change takes about 3.5 KB, so an
#: instance can pass it on at once to one or two peers.
CONTROL_BYTES_PER_S: Final = 9_000
CONTROL_BURST_BYTES: Final = 6_500

#: Rate, and its burst, that is reserved for the transfer while other messages
#: use up the shared rate. Without it no configuration arrives during repeated
#: partitions of 32 members.
RESERVED_BYTES_PER_S: Final = 4_500
RESERVED_BURST_BYTES: Final = 2_700

#: Time after which a chunk that has not arrived is requested from another
#: peer.
CHUNK_TIMEOUT_S: Final = 0.25

#: Time for which no request goes to a peer that did not answer, lacked the
#: blob or sent one that does not match its digest.
PEER_EXCLUSION_S: Final = 1.0

#: Mean delay after the first busy answer, and the longest mean delay. The mean
#: doubles with each busy answer until a chunk arrives; the delay is 0.5 to 1.5
#: times the mean, at random. Requests and refusals count as control bytes
#: as well: with a fixed delay of 0.2 s, 26 instances that fetch everything from
#: 6 peers cost the busiest of these 51 KB/s.
FIRST_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.6

#: Size of a request, and of a chunk message without its chunk: header, digest
#: and UDP overhead.
_MESSAGE_OVERHEAD_BYTES: Final = 150


class FetchedConfiguration(NamedTuple):
    """Configuration that was fetched completely.

    Parameters
    ----------
    generation : int
        Generation that the peers announced.
    head_digest : bytes
        Digest of the head.
    head : bytes
        Encoded head.
    sections : dict of bytes to bytes
        Encoded sections by digest, the unchanged ones included.
    """

    generation: int
    head_digest: bytes
    head: bytes
    sections: dict[bytes, bytes]


class TransferStep(NamedTuple):
    """Result of one message or timer call.

    Parameters
    ----------
    sends : tuple of Send
        Messages to send.
    fetched : FetchedConfiguration or None
        Configuration whose last part arrived with this message.
    reason : str
        Event to log: a completed fetch or a rejected chunk; empty for none.
    """

    sends: tuple[Send, ...] = ()
    fetched: FetchedConfiguration | None = None
    reason: str = ''


class _Offer(NamedTuple):
    """Higher generation that a peer announced, and the peer's address."""

    generation: int
    head_digest: bytes
    address: Address


class _Request(NamedTuple):
    """Chunk request that is not answered yet."""

    digest: bytes
    offset: int
    peer: str
    sent_s: float


class ConfigurationTransfer:
    """Fetches higher generations from peers and serves the one in force.

    Parameters
    ----------
    rng : random.Random
        Source of randomness for the choice of peers and the retry delays.
    digest_of : callable
        Returns the digest of a head or section.
    sections_of : callable
        Returns the digests of the sections that a head names.
    now_s : float
        Time of the start, in seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        digest_of: Callable[[bytes], bytes],
        sections_of: Callable[[bytes], Iterable[bytes]],
        now_s: float,
    ) -> None:
        self._rng = rng
        self._digest_of = digest_of
        self._sections_of = sections_of
        self._earliest_fetch_s = now_s + START_QUERY_S
        self._shared_budget = TokenBucket(
            CONTROL_BYTES_PER_S,
            CONTROL_BURST_BYTES,
            now_s,
        )
        self._reserved_budget = TokenBucket(
            RESERVED_BYTES_PER_S,
            RESERVED_BURST_BYTES,
            now_s,
        )
        self._request_budget = self._shared_budget
        self._generation = 0
        self._served = ServedBlobs()
        self._offers: dict[str, _Offer] = {}
        self._excluded_until_s: dict[str, float] = {}
        self._rejected: set[bytes] = set()
        self._target: _Offer | None = None
        self._fetched: dict[bytes, bytes] = {}
        self._partial: dict[bytes, PartialBlob] = {}
        self._request: _Request | None = None
        self._backoff_s = FIRST_BACKOFF_S
        self._retry_due_s = now_s

    @property
    def target_generation(self) -> int:
        """Generation that is being fetched, or 0 if there is none."""
        return self._target.generation if self._target else 0

    def serve(
        self,
        generation: int,
        head: bytes,
        sections: Mapping[bytes, bytes],
    ) -> None:
        """Serve the configuration that is in force from now on.

        Parameters
        ----------
        generation : int
            Generation in force.
        head : bytes
            Encoded head.
        sections : mapping of bytes to bytes
            Encoded sections by digest.
        """
        self._generation = generation
        digest = self._digest_of(head)[:HEAD_DIGEST_BYTES]
        self._served.replace(digest, head, sections)
        if self._target and self._target.generation <= generation:
            self._drop_target()

    def charge(self, size_bytes: int, now_s: float) -> None:
        """Subtract other control traffic from the shared byte budget.

        Parameters
        ----------
        size_bytes : int
            Size of a message that was sent or received, with UDP and IP
            headers.
        now_s : float
            Time.
        """
        self._shared_budget.charge(size_bytes, now_s)

    def reject(self, head_digest: bytes) -> None:
        """Exclude a head from all further fetches.

        The caller rejects a head that it cannot decode or whose generation
        is not the one that the peers announced.
        """
        self._rejected.add(head_digest)
        self._drop_target()

    def on_header(self, header: Header) -> None:
        """Record the generation that a peer announces.

        A generation that is not higher than the one in force, or than the one
        that was fetched last, withdraws what the peer announced before; a
        rejected head is ignored.

        Parameters
        ----------
        header : Header
            Header of any message of the peer.
        """
        record = header.record
        if header.generation <= self._generation:
            self._offers.pop(record.name, None)
            return
        if header.head_digest in self._rejected:
            return
        address = (record.address, record.control_port)
        offer = _Offer(header.generation, header.head_digest, address)
        self._offers[record.name] = offer

    def on_message(
        self,
        message: Message,
        header: Header,
        now_s: float,
    ) -> TransferStep:
        """Handle a message from a peer.

        Parameters
        ----------
        message : Message
            Message of any kind; those that are not of `TRANSFER_KINDS` only
            announce a generation.
        header : Header
            Header of this instance for the messages to send.
        now_s : float
            Time.

        Returns
        -------
        TransferStep
            Messages to send, and the configuration if it is complete now.
        """
        self.on_header(message.header)
        if isinstance(message, BlobRequest):
            return TransferStep((self._serve(message, header, now_s),))
        if isinstance(message, BlobBusy):
            return self._on_busy(message, header, now_s)
        if isinstance(message, BlobChunk):
            return self._on_chunk(message, header, now_s)
        return self._request_next(header, now_s)

    def on_timer(self, header: Header, now_s: float) -> TransferStep:
        """Start a fetch or repeat a request that timed out.

        Parameters
        ----------
        header : Header
            Header of this instance for the messages to send.
        now_s : float
            Time.

        Returns
        -------
        TransferStep
            Messages to send.
        """
        req = self._request
        if req is not None and now_s - req.sent_s >= CHUNK_TIMEOUT_S:
            self._excluded_until_s[req.peer] = now_s + PEER_EXCLUSION_S
            self._offers.pop(req.peer, None)
            self._request = None
        return self._request_next(header, now_s)

    # Serving

    def _serve(
        self,
        message: BlobRequest,
        header: Header,
        now_s: float,
    ) -> Send:
        """Return a chunk, or a refusal without the blob or the budget."""
        record = message.header.record
        address = (record.address, record.control_port)
        encoded = self._served.encode_blob(message.digest, message.base)
        # Both the received request and the answer count as control bytes.
        if encoded is None:
            self._shared_budget.charge(_MESSAGE_OVERHEAD_BYTES * 2, now_s)
            return Send(address, BlobBusy(header, message.digest, True))
        end = message.offset + chunk_bytes(header)
        chunk = encoded.data[message.offset : end]
        cost_bytes = len(chunk) + _MESSAGE_OVERHEAD_BYTES * 2
        if not self._take_from_budgets(cost_bytes, now_s):
            self._shared_budget.charge(_MESSAGE_OVERHEAD_BYTES * 2, now_s)
            return Send(address, BlobBusy(header, message.digest))
        answer = BlobChunk(
            header,
            message.digest,
            message.offset,
            len(encoded.data),
            chunk,
            encoded.base,
        )
        return Send(address, answer)

    # Fetching

    def _on_busy(
        self,
        message: BlobBusy,
        header: Header,
        now_s: float,
    ) -> TransferStep:
        peer = message.header.record.name
        if not self._is_answer(message.digest, peer):
            return TransferStep()
        self._request = None
        # `_send_request` charged a whole datagram for the answer; the refusal
        # is smaller, so the difference is returned.
        self._request_budget.charge(
            _MESSAGE_OVERHEAD_BYTES - MAX_DATAGRAM_BYTES,
            now_s,
        )
        if message.missing:
            self._excluded_until_s[peer] = now_s + PEER_EXCLUSION_S
            return self._request_next(header, now_s)
        self._retry_due_s = now_s + self._backoff_s * self._rng.uniform(
            0.5, 1.5
        )
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        return TransferStep()

    def _on_chunk(
        self,
        message: BlobChunk,
        header: Header,
        now_s: float,
    ) -> TransferStep:
        peer = message.header.record.name
        if not self._is_answer(message.digest, peer, message.offset):
            # No request in progress has charged the bytes of this chunk.
            self._shared_budget.charge(MAX_DATAGRAM_BYTES, now_s)
            return TransferStep()
        self._request = None
        self._backoff_s = FIRST_BACKOFF_S
        partial = self._partial.setdefault(message.digest, PartialBlob())
        if not partial.append(message.offset, message.base, message.chunk):
            return self._discard_partial(message.digest, peer, now_s)
        if len(partial.data) < message.size_bytes:
            return self._request_next(header, now_s)
        blob = self._served.decode_blob(partial.encoded())
        if blob is None or not self._matches(blob, message.digest):
            return self._discard_partial(message.digest, peer, now_s)
        self._partial.pop(message.digest)
        self._fetched[message.digest] = blob
        return self._request_next(header, now_s)

    def _matches(self, blob: bytes, digest: bytes) -> bool:
        return self._digest_of(blob).startswith(digest)

    def _is_answer(
        self,
        digest: bytes,
        peer: str,
        offset: int | None = None,
    ) -> bool:
        """Tell whether a message answers the request in progress."""
        req = self._request
        if req is None or (req.digest, req.peer) != (digest, peer):
            return False
        return offset is None or offset == req.offset

    def _discard_partial(
        self, digest: bytes, peer: str, now_s: float
    ) -> TransferStep:
        self._partial.pop(digest, None)
        self._excluded_until_s[peer] = now_s + PEER_EXCLUSION_S
        return TransferStep(
            reason=f'peer={peer} error="invalid chunk or digest mismatch"',
        )

    def _request_next(self, header: Header, now_s: float) -> TransferStep:
        if self._request is not None or not self._offers:
            return TransferStep()
        if now_s < self._retry_due_s:
            return TransferStep()
        if self._generation == 0 and now_s < self._earliest_fetch_s:
            return TransferStep()
        self._select_target()
        target = self._target
        if target is None:
            return TransferStep()
        missing = self._find_missing(target)
        if missing is None:
            return self._complete(target)
        return self._send_request(target, missing, header, now_s)

    def _select_target(self) -> None:
        best = max(self._offers.values(), key=_offer_generation, default=None)
        if best is None:
            return
        target = self._target
        if target is None or best.generation > target.generation:
            self._target = best
        elif not self._is_offered(target):
            self._target = best

    def _is_offered(self, target: _Offer) -> bool:
        return any(
            offer.head_digest == target.head_digest
            for offer in self._offers.values()
        )

    def _find_missing(self, target: _Offer) -> bytes | None:
        """Return the digest of the next missing blob, the head first.

        None if the head and all sections that it names are here.
        """
        head = self._fetched.get(target.head_digest)
        if head is None:
            return target.head_digest
        for digest in self._sections_of(head):
            if digest not in self._served and digest not in self._fetched:
                return digest
        return None

    def _send_request(
        self,
        target: _Offer,
        digest: bytes,
        header: Header,
        now_s: float,
    ) -> TransferStep:
        peer = self._select_peer(target, now_s)
        if peer is None:
            return TransferStep()
        # Charges the largest possible answer together with the request.
        cost_bytes = MAX_DATAGRAM_BYTES + _MESSAGE_OVERHEAD_BYTES
        if not self._take_for_request(cost_bytes, now_s):
            return TransferStep()
        partial = self._partial.get(digest)
        offset = len(partial.data) if partial else 0
        self._request = _Request(digest, offset, peer, now_s)
        is_head = digest == target.head_digest
        base = self._served.head_digest if is_head else b''
        message = BlobRequest(header, digest, offset, base)
        return TransferStep((Send(self._offers[peer].address, message),))

    def _take_from_budgets(self, cost_bytes: int, now_s: float) -> bool:
        """Charge the shared budget, or the reserved one if that is used up."""
        return any(
            bucket.take(cost_bytes, now_s)
            for bucket in (self._shared_budget, self._reserved_budget)
        )

    def _take_for_request(self, cost_bytes: int, now_s: float) -> bool:
        """Charge a request, and note the bucket for a later refund."""
        for bucket in (self._shared_budget, self._reserved_budget):
            if bucket.take(cost_bytes, now_s):
                self._request_budget = bucket
                return True
        return False

    def _select_peer(self, target: _Offer, now_s: float) -> str | None:
        peers = [
            name
            for name, offer in self._offers.items()
            if offer.head_digest == target.head_digest
            and self._excluded_until_s.get(name, now_s) <= now_s
        ]
        return self._rng.choice(peers) if peers else None

    def _complete(self, target: _Offer) -> TransferStep:
        head = self._fetched[target.head_digest]
        sections = {
            digest: self._fetched.get(digest) or self._served[digest]
            for digest in self._sections_of(head)
        }
        fetched = FetchedConfiguration(
            target.generation,
            target.head_digest,
            head,
            sections,
        )
        self._drop_target()
        self._generation = target.generation
        reason = f'generation={target.generation} fetched from peers'
        return TransferStep(fetched=fetched, reason=reason)

    def _drop_target(self) -> None:
        self._target = None
        self._request = None
        self._fetched.clear()
        self._partial.clear()
        self._excluded_until_s.clear()
        self._offers = {
            name: offer
            for name, offer in self._offers.items()
            if offer.generation > self._generation
            and offer.head_digest not in self._rejected
        }


def _offer_generation(offer: _Offer) -> int:
    return offer.generation
