"""Small valid configuration that the tests of this folder modify."""

from msgspec.structs import replace

from siskinproxy.operators import (
    Configuration,
    Listener,
    RetiredTarget,
    Service,
    Target,
    Zone,
)

DESK_LISTENER = Listener('203.0.113.1', 443, 7000, name='tickets')
DESK_1 = Target('desk-1', '127.1.1.1', 'a')
DESK_2 = Target('desk-2', '127.1.2.1', 'b')
DESK = Service('desk', (DESK_LISTENER,), (DESK_1, DESK_2))

ARCHIVE_LISTENER = Listener('203.0.113.2', 443, 7002, mode='stream')
ARCHIVE_1 = Target('archive-1', '127.1.1.101', 'a')
ARCHIVE = Service('archive', (ARCHIVE_LISTENER,), (ARCHIVE_1,))

ZONE_A = Zone('a')
ZONE_B = Zone('b')

CONFIGURATION = Configuration('alfold', (ZONE_A, ZONE_B), (DESK, ARCHIVE))

RETIRED_UNIX_S = 1_000_000


def with_services(*services, cfg=CONFIGURATION):
    """Return a copy of the configuration with other services."""
    return replace(cfg, services=services)


def with_zone_a(*, in_service, cfg=CONFIGURATION, out_unix_s=0):
    """Return a copy of the configuration with another state of zone a."""
    return replace(cfg, zones=(Zone('a', in_service, out_unix_s), ZONE_B))


def retired_target(
    address,
    *,
    service='old',
    ports=(7000,),
    zone='a',
    released_unix_s=0,
    listeners=(),
):
    """Return an entry of a target that was retired at `RETIRED_UNIX_S`."""
    return RetiredTarget(
        service,
        Target('old-1', address, zone),
        ports,
        3,
        RETIRED_UNIX_S,
        released_unix_s,
        listeners,
    )
