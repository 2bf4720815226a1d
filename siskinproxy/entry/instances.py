"""Registrations of instances in the store, and a directory of them."""

from collections.abc import Iterator
from typing import Annotated, Final

import msgspec

from siskinproxy.addresses import is_host_address
from siskinproxy.entry.records import Address
from siskinproxy.entry.store import StoredItem
from siskinproxy.entry.value_bounds import DECODING_ERRORS, Name, Port

__all__ = (
    'INSTANCES_PREFIX',
    'InstanceDirectory',
    'InstanceRecord',
    'decode_instance',
    'encode_instance',
)

#: Prefix of the keys under which instances register.
INSTANCES_PREFIX: Final = 'siskinproxy/instances/'

#: Time for which an instance whose registration ended still counts as a sender
#: of packets, in seconds: it may only have lost its connection to the store.
#: The request rate of a cold target is divided among the senders.
DEPARTED_SENDER_S: Final = 30.0
_MAX_LINK_MBPS: Final = 1_000_000


class InstanceRecord(msgspec.Struct, frozen=True):
    """Registration of an instance.

    Parameters
    ----------
    name : str
        Unique name.
    zone : str
        Availability zone.
    host : str
        IPv4 address at which other instances reach it.
    port : int
        UDP and TCP port at which other instances reach it.
    link_mbps : float
        Bandwidth of its network link in Mbit/s; 0 if not stated.
    """

    name: Name
    zone: Name
    host: str
    port: Port
    link_mbps: Annotated[float, msgspec.Meta(ge=0, le=_MAX_LINK_MBPS)] = 0

    @property
    def address(self) -> Address:
        """Address at which other instances reach it."""
        return Address(self.host, self.port)


_DECODER: Final = msgspec.json.Decoder(InstanceRecord)


def encode_instance(record: InstanceRecord) -> bytes:
    """Return a registration as the value of its key in the store."""
    return msgspec.json.encode(record)


def decode_instance(item: StoredItem) -> InstanceRecord | None:
    """Return the registration that an item holds.

    Parameters
    ----------
    item : StoredItem
        Item whose key starts with `INSTANCES_PREFIX`.

    Returns
    -------
    InstanceRecord or None
        None if the value cannot be decoded, if its address is not that of a
        host, or if its name is not that in the key.
    """
    try:
        record = _DECODER.decode(item.value)
    except DECODING_ERRORS:
        return None
    is_own_key = item.key == f'{INSTANCES_PREFIX}{record.name}'
    is_usable = is_own_key and is_host_address(record.host)
    return record if is_usable else None


class InstanceDirectory:
    """Registered instances, and those whose registration ended lately."""

    def __init__(self) -> None:
        self._registered: dict[str, InstanceRecord] = {}
        self._departed: dict[str, tuple[float, InstanceRecord]] = {}

    def __len__(self) -> int:
        """Return the number of registered instances."""
        return len(self._registered)

    def register(self, record: InstanceRecord) -> None:
        """Add or replace the registration of an instance."""
        self._registered[record.name] = record
        self._departed.pop(record.name, None)

    def remove(self, name: str, now_s: float) -> None:
        """Remove an instance whose registration ended."""
        record = self._registered.pop(name, None)
        if record is not None:
            self._departed[name] = (now_s, record)

    def in_zone(self, zone: str) -> tuple[InstanceRecord, ...]:
        """Return the registered instances of a zone, sorted by name."""
        found = (each for each in self._registered.values())
        members = [record for record in found if record.zone == zone]
        return tuple(sorted(members, key=lambda record: record.name))

    def first_of_other_zones(
        self, zone: str, count: int
    ) -> tuple[InstanceRecord, ...]:
        """Return the first instances by name of each zone but one.

        Parameters
        ----------
        zone : str
            Zone that is left out.
        count : int
            Largest number of instances of each zone.
        """
        found: dict[str, list[InstanceRecord]] = {}
        for name in sorted(self._registered):
            record = self._registered[name]
            members = found.setdefault(record.zone, [])
            if record.zone != zone and len(members) < count:
                members.append(record)
        return tuple(each for members in found.values() for each in members)

    def registered(self) -> Iterator[InstanceRecord]:
        """Yield the registered instances."""
        yield from self._registered.values()

    def possible_senders(self, now_s: float) -> tuple[str, ...]:
        """Return the names of the instances that may still send packets.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        tuple of str
            Registered instances, and those whose registration ended at most
            `DEPARTED_SENDER_S` ago.
        """
        for name, (departed_s, _) in tuple(self._departed.items()):
            if now_s - departed_s > DEPARTED_SENDER_S:
                del self._departed[name]
        return (*self._registered, *self._departed)
