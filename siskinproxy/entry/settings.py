"""Settings of an entry process: sections, keys and accepted values.

The documentation of the settings is generated from the descriptions of the keys
and from the first lines of the doc comments of the sections.
"""

from typing import Annotated, Final

import msgspec

from siskinproxy.settings_file import (
    ENDPOINT_FORM,
    HOST_FORM,
    describe_key,
)

__all__ = (
    'EntryBounds',
    'EntryIdentity',
    'EntryListeners',
    'EntryLoad',
    'EntrySettings',
    'EntryStore',
)

_MAX_PORT: Final = 65535


#: Longest time between two announcements of a target, in milliseconds. Targets
#: of a returned zone count as cold for twice that time.
_MAX_HEARTBEAT_MS: Final = 60_000
_MAX_TIME_S: Final = 3600
_MAX_TIME_MS: Final = 1000 * _MAX_TIME_S


def _seconds(description: str) -> msgspec.Meta:
    """Describe a bound of up to an hour, in seconds."""
    return describe_key(description, 's', ge=0, le=_MAX_TIME_S, tolerant=True)


def _milliseconds(
    description: str, longest_ms: int = _MAX_TIME_MS
) -> msgspec.Meta:
    """Describe a bound of up to an hour, in milliseconds."""
    return describe_key(description, 'ms', ge=0, le=longest_ms, tolerant=True)


class EntryIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``instance``: who and where the instance is."""

    name: Annotated[
        str, describe_key('unique name of the instance', min_length=1)
    ]
    zone: Annotated[
        str, describe_key('availability zone of the instance', min_length=1)
    ]
    address: Annotated[
        str, describe_key('address of the instance', form=HOST_FORM)
    ]
    link_mbps: Annotated[
        float,
        describe_key(
            'bandwidth of its link',
            'Mbit/s',
            ge=0,
            le=1_000_000,
            tolerant=True,
        ),
    ] = 0


class EntryListeners(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``listeners``: addresses on which the process listens."""

    packet: Annotated[
        str,
        describe_key(
            'UDP address of packets from the fabric', form=ENDPOINT_FORM
        ),
    ]
    ready: Annotated[
        str,
        describe_key('TCP address of the readiness check', form=ENDPOINT_FORM),
    ]
    metrics_port: Annotated[
        int, describe_key('TCP port of the metrics', ge=1, le=_MAX_PORT)
    ]
    peer_port: Annotated[
        int,
        describe_key(
            'UDP and TCP port between instances, equal on all of them',
            ge=1,
            le=_MAX_PORT,
        ),
    ]


class EntryStore(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``store``: the platform's store and other instances."""

    address: Annotated[
        str, describe_key('address of the store', form=ENDPOINT_FORM)
    ]
    seeds: Annotated[
        tuple[str, ...],
        describe_key(
            'instances to ask while the store does not answer',
            form=ENDPOINT_FORM,
            tolerant=True,
        ),
    ] = ()


class EntryBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``bounds``: what the platform allows and expects.

    The default of a bound that the platform does not state is the tightest one
    of its deployments, so that the bound is kept there.
    """

    heartbeat_ms: Annotated[
        float,
        _milliseconds(
            'time between two announcements of a target', _MAX_HEARTBEAT_MS
        ),
    ] = 1200
    drain_ms: Annotated[
        float,
        _milliseconds('time in which a leaving target gets its last flow'),
    ] = 3000
    config_ms: Annotated[
        float, _milliseconds('time in which a configuration is in force')
    ] = 3000
    zone_out_ms: Annotated[
        float, _milliseconds('time after which a zone taken out gets nothing')
    ] = 3000
    stop_s: Annotated[
        float, _seconds('time between the signal to stop and a forced end')
    ] = 6
    flow_life_s: Annotated[float, _seconds('longest life of a flow')] = 60
    cold_factor: Annotated[
        float,
        describe_key(
            'multiple of the rate that a cold target bears',
            ge=0,
            le=100,
            tolerant=True,
        ),
    ] = 1
    cold_slack: Annotated[
        float,
        describe_key(
            'requests a second beyond that rate', ge=0, le=1000, tolerant=True
        ),
    ] = 1


class EntryLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``load``: scarce room, unequal targets and ended targets."""

    lanes: Annotated[
        bool,
        describe_key('whether priorities of a service get their own targets'),
    ] = False
    refuse_early: Annotated[
        bool,
        describe_key('whether flows that find no room in time are refused'),
    ] = False
    learn_speeds: Annotated[
        bool,
        describe_key('whether the load of a target follows its response times'),
    ] = False
    reset_ended: Annotated[
        bool, describe_key('reset open flows whose target has ended')
    ] = False


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings file of an entry process, by section."""

    instance: Annotated[EntryIdentity, describe_key('who and where')]
    listeners: Annotated[EntryListeners, describe_key('ports')]
    store: Annotated[EntryStore, describe_key('store and other instances')]
    bounds: Annotated[EntryBounds, describe_key('bounds of the platform')]
    load: Annotated[
        EntryLoad, describe_key('decisions if there is not enough room')
    ] = EntryLoad()

    def sections_needing_restart(self, new: 'EntrySettings') -> list[str]:
        """Return the changed sections that apply only after a restart."""
        sections = ('instance', 'listeners', 'store', 'load')
        return [
            name
            for name in sections
            if getattr(self, name) != getattr(new, name)
        ]

    def with_bounds_of(self, new: 'EntrySettings') -> 'EntrySettings':
        """Return these settings with section ``bounds`` of others."""
        return msgspec.structs.replace(self, bounds=new.bounds)
