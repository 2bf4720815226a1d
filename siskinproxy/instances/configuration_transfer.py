"""Transfer of the configuration between peers in bounded chunks.

The head and the sections are opaque bytes that are named by their digest.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

from siskinproxy.instances.blobs import BlobShelf, PartialBlob
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

#: Messages that the transfer itself accounts for.
TRANSFER_KINDS: Final = (BlobRequest, BlobChunk, BlobBusy)

#: Time in which a starting instance collects the generations of its peers.
START_QUERY_S: Final = 1.0

#: Control bytes a second, sent and received, up to which the transfer adds to
#: the other messages, and their burst. A change takes about 3.5 KB, so an
#: instance can pass it on at once to one or two.
CONTROL_RATE_BYTES_S: Final = 9_000
CONTROL_BURST_BYTES: Final = 6_500

#: Share of the transfer while other messages use up that rate. Without it no
#: configuration arrived during repeated partitions of 32 members.
RESERVED_RATE_BYTES_S: Final = 4_500
RESERVED_BURST_BYTES: Final = 2_700

#: A chunk that has not arrived by then is requested from another peer.
CHUNK_TIMEOUT_S: Final = 0.25

#: Time during which a peer is not asked after it did not answer or lacked the
#: blob.
UNRESPONSIVE_S: Final = 1.0

#: Delay after the first busy answer. It doubles with each further one up to
#: the longest delay: requests and refusals count as control bytes as well,
#: and 26 instances that fetched everything from 6 peers at a fixed delay of
#: 0.2 s took 51 KB/s of the busiest one.
FIRST_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.6

#: Header, digest and UDP overhead of a request or a chunk.
_MESSAGE_BYTES: Final = 150


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
    """Result of one input.

    Parameters
    ----------
    sends : tuple of Send
        Messages to send.
    fetched : FetchedConfiguration or None
        Configuration that is complete now.
    reason : str
        What happened, for the log; empty if nothing noteworthy did.
    """

    sends: tuple[Send, ...] = ()
    fetched: FetchedConfiguration | None = None
    reason: str = ''


class _Offer(NamedTuple):
    """Configuration that a peer announced."""

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
    """Fetches higher generations from peers and serves the own one.

    Parameters
    ----------
    rng : random.Random
        Source of the choice of peers.
    digest_of : callable
        Returns the digest of a head or section.
    sections_of : callable
        Returns the digests of the sections that a head names.
    now_s : float
        Time of the start.
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
        self._hold_until_s = now_s + START_QUERY_S
        self._budget = TokenBucket(
            CONTROL_RATE_BYTES_S,
            CONTROL_BURST_BYTES,
            now_s,
        )
        self._reserve = TokenBucket(
            RESERVED_RATE_BYTES_S,
            RESERVED_BURST_BYTES,
            now_s,
        )
        self._request_bucket = self._budget
        self._generation = 0
        self._shelf = BlobShelf()
        self._offers: dict[str, _Offer] = {}
        self._avoid_until_s: dict[str, float] = {}
        self._rejected: set[bytes] = set()
        self._target: _Offer | None = None
        self._fetched: dict[bytes, bytes] = {}
        self._partial: dict[bytes, PartialBlob] = {}
        self._request: _Request | None = None
        self._backoff_s = FIRST_BACKOFF_S
        self._resume_s = now_s

    @property
    def target_generation(self) -> int:
        """Generation that is being fetched, or 0."""
        return self._target.generation if self._target else 0

    def adopt(
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
        self._shelf.replace(digest, head, sections)
        if self._target and self._target.generation <= generation:
            self._drop_target()

    def charge(self, size_bytes: int, now_s: float) -> None:
        """Subtract other control traffic from the budget of the transfer.

        Parameters
        ----------
        size_bytes : int
            Size of a message that was sent or received, with UDP and IP
            headers.
        now_s : float
            Time.
        """
        self._budget.charge(size_bytes, now_s)

    def reject(self, head_digest: bytes) -> None:
        """Never fetch this head again, since it cannot be decoded."""
        self._rejected.add(head_digest)
        self._drop_target()

    def on_header(self, header: Header) -> None:
        """Note the configuration that a peer announces.

        Parameters
        ----------
        header : Header
            Header of any message.
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
        """Handle a message of the transfer.

        Parameters
        ----------
        message : Message
            Message from a peer; other kinds than those of the transfer only
            announce a generation.
        header : Header
            Header of this instance for the messages to send.
        now_s : float
            Time.

        Returns
        -------
        TransferStep
            Messages to send and the configuration that is complete.
        """
        self.on_header(message.header)
        if isinstance(message, BlobRequest):
            return TransferStep((self._serve(message, header, now_s),))
        if isinstance(message, BlobBusy):
            return self._on_busy(message, header, now_s)
        if isinstance(message, BlobChunk):
            return self._on_chunk(message, header, now_s)
        return self._continue(header, now_s)

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
            self._avoid_until_s[req.peer] = now_s + UNRESPONSIVE_S
            self._offers.pop(req.peer, None)
            self._request = None
        return self._continue(header, now_s)

    # Serving

    def _serve(
        self,
        message: BlobRequest,
        header: Header,
        now_s: float,
    ) -> Send:
        record = message.header.record
        address = (record.address, record.control_port)
        form = self._shelf.transfer_form(message.digest, message.base)
        if form is None:
            self._budget.charge(_MESSAGE_BYTES * 2, now_s)
            return Send(address, BlobBusy(header, message.digest, True))
        end = message.offset + chunk_bytes(header)
        chunk = form.data[message.offset : end]
        cost_bytes = len(chunk) + _MESSAGE_BYTES * 2
        if not self._take(cost_bytes, now_s):
            self._budget.charge(_MESSAGE_BYTES * 2, now_s)
            return Send(address, BlobBusy(header, message.digest))
        answer = BlobChunk(
            header,
            message.digest,
            message.offset,
            len(form.data),
            chunk,
            form.base,
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
        if not self._answers(message.digest, peer):
            return TransferStep()
        self._request = None
        # The chunk that the request reserved did not come.
        self._request_bucket.charge(
            _MESSAGE_BYTES - MAX_DATAGRAM_BYTES,
            now_s,
        )
        if message.missing:
            self._avoid_until_s[peer] = now_s + UNRESPONSIVE_S
            return self._continue(header, now_s)
        self._resume_s = now_s + self._backoff_s * self._rng.uniform(0.5, 1.5)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        return TransferStep()

    def _on_chunk(
        self,
        message: BlobChunk,
        header: Header,
        now_s: float,
    ) -> TransferStep:
        peer = message.header.record.name
        if not self._answers(message.digest, peer, message.offset):
            self._budget.charge(MAX_DATAGRAM_BYTES, now_s)
            return TransferStep()
        self._request = None
        self._backoff_s = FIRST_BACKOFF_S
        partial = self._partial.setdefault(message.digest, PartialBlob())
        if not partial.append(message.offset, message.base, message.chunk):
            return self._discard(message.digest, peer, now_s)
        if len(partial.data) < message.size_bytes:
            return self._continue(header, now_s)
        blob = self._shelf.restore(partial.form())
        if blob is None or not self._matches(blob, message.digest):
            return self._discard(message.digest, peer, now_s)
        self._partial.pop(message.digest)
        self._fetched[message.digest] = blob
        return self._continue(header, now_s)

    def _matches(self, blob: bytes, digest: bytes) -> bool:
        return self._digest_of(blob).startswith(digest)

    def _answers(
        self,
        digest: bytes,
        peer: str,
        offset: int | None = None,
    ) -> bool:
        """Whether a message answers the request in progress."""
        req = self._request
        if req is None or (req.digest, req.peer) != (digest, peer):
            return False
        return offset is None or offset == req.offset

    def _discard(self, digest: bytes, peer: str, now_s: float) -> TransferStep:
        self._partial.pop(digest, None)
        self._avoid_until_s[peer] = now_s + UNRESPONSIVE_S
        return TransferStep(reason=f'peer={peer} error="wrong digest"')

    def _continue(self, header: Header, now_s: float) -> TransferStep:
        if self._request is not None or not self._offers:
            return TransferStep()
        if now_s < self._resume_s:
            return TransferStep()
        if self._generation == 0 and now_s < self._hold_until_s:
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
        """Return the digest of the next missing blob, the head first."""
        head = self._fetched.get(target.head_digest)
        if head is None:
            return target.head_digest
        for digest in self._sections_of(head):
            if digest not in self._shelf and digest not in self._fetched:
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
        cost_bytes = MAX_DATAGRAM_BYTES + _MESSAGE_BYTES
        if not self._take_for_request(cost_bytes, now_s):
            return TransferStep()
        partial = self._partial.get(digest)
        offset = len(partial.data) if partial else 0
        self._request = _Request(digest, offset, peer, now_s)
        is_head = digest == target.head_digest
        base = self._shelf.head_digest if is_head else b''
        message = BlobRequest(header, digest, offset, base)
        return TransferStep((Send(self._offers[peer].address, message),))

    def _take(self, cost_bytes: int, now_s: float) -> bool:
        return any(
            bucket.take(cost_bytes, now_s)
            for bucket in (self._budget, self._reserve)
        )

    def _take_for_request(self, cost_bytes: int, now_s: float) -> bool:
        for bucket in (self._budget, self._reserve):
            if bucket.take(cost_bytes, now_s):
                self._request_bucket = bucket
                return True
        return False

    def _select_peer(self, target: _Offer, now_s: float) -> str | None:
        peers = [
            name
            for name, offer in self._offers.items()
            if offer.head_digest == target.head_digest
            and self._avoid_until_s.get(name, now_s) <= now_s
        ]
        return self._rng.choice(peers) if peers else None

    def _complete(self, target: _Offer) -> TransferStep:
        head = self._fetched[target.head_digest]
        sections = {
            digest: self._fetched.get(digest) or self._shelf[digest]
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
        self._avoid_until_s.clear()
        self._offers = {
            name: offer
            for name, offer in self._offers.items()
            if offer.generation > self._generation
            and offer.head_digest not in self._rejected
        }


def _offer_generation(offer: _Offer) -> int:
    return offer.generation
