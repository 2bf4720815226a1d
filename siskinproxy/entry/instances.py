"""Instances that are registered in the store."""

from collections.abc import Iterator
from typing import Final

import msgspec

from siskinproxy.entry.records import Address
from siskinproxy.entry.store import StoredItem

__all__ = (
    'INSTANCES_PREFIX',
    'InstanceDirectory',
    'InstanceRecord',
    'decode_instance',
    'encode_instance',
)

#: Start of the keys under which instances register.
INSTANCES_PREFIX: Final = 'siskinproxy/instances/'

#: Time for which an instance whose registration ended may still send packets,
#: in seconds: it may only be cut off from the store.
DEPARTED_S: Final = 30.0


class InstanceRecord(msgspec.Struct, frozen=True):
    """Registration of an instance.

    Parameters
    ----------
    name : str
        Unique name.
    zone : str
        Availability zone.
    host : str
        Address of its socket for other instances.
    port : int
        UDP and TCP port for other instances.
    link_mbps : float
        Bandwidth of its link in Mbit/s.
    """

    name: str
    zone: str
    host: str
    port: int
    link_mbps: float = 0

    @property
    def address(self) -> Address:
        """Address for other instances."""
        return Address(self.host, self.port)


_DECODER: Final = msgspec.json.Decoder(InstanceRecord)


def encode_instance(record: InstanceRecord) -> bytes:
    """Return the value of a registration."""
    return msgspec.json.encode(record)


def decode_instance(item: StoredItem) -> InstanceRecord | None:
    """Return the registration that an item holds, None if it holds none."""
    try:
        record = _DECODER.decode(item.value)
    except msgspec.MsgspecError:
        return None
    is_own_key = item.key == f'{INSTANCES_PREFIX}{record.name}'
    return record if is_own_key else None


class InstanceDirectory:
    """Registered instances by name."""

    def __init__(self) -> None:
        self._registered: dict[str, InstanceRecord] = {}
        self._departed: dict[str, tuple[float, InstanceRecord]] = {}

    def __len__(self) -> int:
        """Return the number of registered instances."""
        return len(self._registered)

    def register(self, record: InstanceRecord) -> None:
        """Take over a registration."""
        self._registered[record.name] = record
        self._departed.pop(record.name, None)

    def remove(self, name: str, now_s: float) -> None:
        """Note that a registration ended."""
        record = self._registered.pop(name, None)
        if record is not None:
            self._departed[name] = (now_s, record)

    def in_zone(self, zone: str) -> tuple[InstanceRecord, ...]:
        """Return the registered instances of a zone, sorted by name."""
        found = (each for each in self._registered.values())
        members = [record for record in found if record.zone == zone]
        return tuple(sorted(members, key=lambda record: record.name))

    def registered(self) -> Iterator[InstanceRecord]:
        """Yield the registered instances."""
        yield from self._registered.values()

    def possible_senders(self, now_s: float) -> tuple[str, ...]:
        """Return the instances that may send packets.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        tuple of str
            Registered instances, and those whose registration ended lately.
        """
        for name, (departed_s, _) in tuple(self._departed.items()):
            if now_s - departed_s > DEPARTED_S:
                del self._departed[name]
        return (*self._registered, *self._departed)
