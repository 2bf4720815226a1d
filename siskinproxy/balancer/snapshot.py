"""Routing snapshot that the control process sends to the packet process."""

from typing import Literal

import msgspec

from siskinproxy.operators.configuration import Configuration

__all__ = ('Member', 'RoutingSnapshot')


class Member(msgspec.Struct, frozen=True):
    """Instance of the region as its peers know it.

    Parameters
    ----------
    name : str
        Unique name of the instance.
    zone : str
        Availability zone.
    address : str
        IPv4 address of both processes.
    packet_port : int
        UDP port of the packet process for the fabric and other instances.
    control_port : int
        UDP port of the control process.
    incarnation : int
        Version of these values. The instance raises it at each start, at each
        change of its status and to refute a suspicion.
    status : {'alive', 'leaving'}
        ``leaving`` members relay segments, but the current view makes them
        homes of no shard, so they keep no flow entries for others.
    """

    name: str
    zone: str
    address: str
    packet_port: int
    control_port: int
    incarnation: int = 0
    status: Literal['alive', 'leaving'] = 'alive'


class RoutingSnapshot(msgspec.Struct, frozen=True):
    """Configuration and members by which the packet process routes.

    Parameters
    ----------
    generation : int
        Generation of the configuration; grows with each accepted change.
    configuration : Configuration
        Configuration of that generation.
    members : tuple of Member
        Members that are alive or leaving, the instance itself included.
    zone_sight_s : dict of str to float
        Seconds since the control process last heard from each zone.
    provisional : bool
        True until the store or a peer that has read it confirms the
        generation.
    """

    generation: int
    configuration: Configuration
    members: tuple[Member, ...]
    zone_sight_s: dict[str, float] = {}
    provisional: bool = False
