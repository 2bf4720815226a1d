"""What the packet handling needs of its surroundings: a sender and a log."""

from typing import Any, Protocol

from siskinproxy.entry.records import Address

__all__ = ('EventSink', 'Outbox')


class Outbox(Protocol):
    """Sender of the engine's datagrams."""

    def send(self, address: Address, datagram: bytes) -> None:
        """Send a datagram; one that can't be sent is dropped without error."""


class EventSink(Protocol):
    """Log of the engine's decisions."""

    def event(self, name: str, /, **pairs: Any) -> None:
        """Log a decision under a name, with its key-value pairs."""
