"""Sections and keys of an instance's TOML settings file, with their bounds.

`siskinproxy.settings_file` reads and checks the file.
"""

from collections.abc import Iterator
from typing import Annotated, Final

import msgspec

from siskinproxy.operators.validation import ADDRESS_REUSE_DELAY_S
from siskinproxy.settings_file import (
    ENDPOINT_FORM,
    HOST_FORM,
    OPTIONAL_HOST_FORM,
    Conflict,
    SettingsField,
    describe_key,
    describe_type,
    iterate_fields,
    read_settings,
    run_or_exit,
)

__all__ = (
    'ENDPOINT_FORM',
    'AdminSettings',
    'Conflict',
    'ControlSettings',
    'Identity',
    'InstanceSettings',
    'Limits',
    'PacketSettings',
    'SettingsField',
    'StoreSettings',
    'describe_key',
    'describe_type',
    'iterate_fields',
    'read_settings',
    'run_or_exit',
)

_MAX_PORT: Final = 65535
_MAX_FLOWS: Final = 10_000_000


def _describe_port(description: str) -> msgspec.Meta:
    """Describe a key that holds a port number."""
    return describe_key(description, ge=1, le=_MAX_PORT)


def _describe_optional_port(description: str) -> msgspec.Meta:
    """Describe a key that holds a port number, or 0 to disable the server."""
    return describe_key(f'{description}; 0 = off', ge=0, le=_MAX_PORT)


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``instance``: who and where the instance is."""

    name: Annotated[
        str,
        describe_key('unique name of the instance', min_length=1),
    ]
    region: Annotated[
        str,
        describe_key('region whose configuration is in effect', min_length=1),
    ]
    zone: Annotated[
        str,
        describe_key('availability zone of the instance', min_length=1),
    ]
    address: Annotated[
        str,
        describe_key(
            'address of both processes of the instance', form=HOST_FORM
        ),
    ]


class PacketSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``packet``: sockets of the packet process."""

    port: Annotated[
        int,
        _describe_port('UDP port for the fabric and other instances'),
    ] = 7400
    link_port: Annotated[
        int,
        _describe_port('loopback TCP port of the control link'),
    ] = 7401
    fabric_address: Annotated[
        str,
        describe_key('address of the fabric', form=HOST_FORM),
    ]
    fabric_port: Annotated[
        int,
        _describe_port('UDP port of the fabric'),
    ] = 7300
    metrics_port: Annotated[
        int,
        _describe_optional_port(
            'TCP port of the metrics of the packet process'
        ),
    ] = 0


class ControlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``control``: sockets and sources of the control process."""

    port: Annotated[
        int,
        _describe_port('UDP port for gossip and configuration transfer'),
    ] = 7402
    seeds: Annotated[
        tuple[str, ...],
        describe_key(
            'control endpoints of instances to join', form=ENDPOINT_FORM
        ),
    ] = ()
    configuration_file: Annotated[
        str,
        describe_key('JSON configuration used without a store; empty = none'),
    ] = ''
    metrics_port: Annotated[
        int,
        _describe_optional_port(
            'TCP port of the metrics of the control process'
        ),
    ] = 0


class StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``store``: key-value store of the platform."""

    address: Annotated[
        str,
        describe_key(
            'address of the store; empty = none', form=OPTIONAL_HOST_FORM
        ),
    ] = ''
    port: Annotated[int, _describe_port('TCP port of the store')] = 7500
    token: Annotated[
        str,
        describe_key('token sent with each call to the store', secret=True),
    ] = ''


class AdminSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``admin``: administration API of the control process."""

    port: Annotated[
        int,
        _describe_optional_port('TCP port of the administration API'),
    ] = 0
    token: Annotated[
        str,
        describe_key('token that operators must present', secret=True),
    ] = ''


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``limits``: sizes, rates and times.

    The flows of a service are divided into shards. The homes of a shard are
    the instances that keep the entries of its flows; the first home is the
    owner, which selects the targets. Other instances learn the target of a
    flow from the target's segments. A view assigns the shards to the members
    of the region.
    """

    learned_flows: Annotated[
        int,
        describe_key('learned flow entries kept', 'flows', ge=1, le=_MAX_FLOWS),
    ] = 200_000
    home_flows: Annotated[
        int,
        describe_key(
            'flow entries kept as a home', 'flows', ge=1, le=_MAX_FLOWS
        ),
    ] = 1_500_000
    copy_bytes_per_s: Annotated[
        int,
        describe_key(
            'rate at which entries are copied to other homes',
            'bytes/s',
            ge=20,
            le=10_000_000,
        ),
    ] = 8000
    drain_limit_s: Annotated[
        float,
        describe_key('time that a planned stop may take', 's', ge=0, le=3600),
    ] = 300.0
    sight_s: Annotated[
        float,
        describe_key(
            'time after which a zone that was not heard from gets no packets',
            's',
            ge=0.1,
            le=60,
        ),
    ] = 3.0
    # The upper bound is half of a TIME_WAIT of 60 s, so that an entry expires
    # before the caller can reuse its port.
    learned_s: Annotated[
        float,
        describe_key(
            'time after which a learned entry without responses expires',
            's',
            ge=0.1,
            le=30,
        ),
    ] = 4.0
    # The default is the minimum that RFC 5382 sets for address translators: 4
    # minutes more than the default TCP keep-alive interval of 2 hours.
    flow_idle_s: Annotated[
        float,
        describe_key(
            'time after which an idle flow entry expires',
            's',
            ge=1,
            le=604_800,
        ),
    ] = 7440.0
    takeover_s: Annotated[
        float,
        describe_key(
            'time for which a new owner halves limits', 's', ge=0, le=60
        ),
    ] = 2.0
    view_retention_s: Annotated[
        float,
        describe_key('least time for which a view is kept', 's', ge=1, le=3600),
    ] = 30.0
    address_reuse_delay_s: Annotated[
        int,
        describe_key(
            'time for which flows to a removed target stay allowed and its '
            'address with its service; at least flow_idle_s',
            's',
            ge=0,
            le=604_800,
        ),
    ] = ADDRESS_REUSE_DELAY_S


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings file of an instance, read by both of its processes."""

    instance: Identity
    packet: PacketSettings
    control: ControlSettings = msgspec.field(default_factory=ControlSettings)
    store: StoreSettings = msgspec.field(default_factory=StoreSettings)
    admin: AdminSettings = msgspec.field(default_factory=AdminSettings)
    limits: Limits = msgspec.field(default_factory=Limits)

    def find_conflicts(self) -> Iterator[Conflict]:
        """Check the rules that concern several keys.

        Yields
        ------
        Conflict
            Key that breaks a rule, with expected and found value.
        """
        if self.admin.port and not self.admin.token:
            expected = 'non-empty text, since admin.port is set'
            yield Conflict('admin.token', expected, 'nothing')
        delay_s = self.limits.address_reuse_delay_s
        idle_s = self.limits.flow_idle_s
        if delay_s < idle_s:
            yield Conflict(
                'limits.address_reuse_delay_s',
                f'at least {idle_s:g} s, the value of limits.flow_idle_s',
                str(delay_s),
            )
