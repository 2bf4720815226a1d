"""Rule for the reuse of addresses by another service.

The target and listener addresses of a service are reserved for it while its
flows may exist; otherwise packets of a flow could reach another service. A
change does not take effect on all instances at once, so an address becomes free
only some time after the change that revoked the flows.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from typing import Final, NamedTuple

from siskinproxy.errors import (
    AddressReuseError,
    ConfigurationError,
    ListenerReuseError,
)
from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    RetiredTarget,
    Service,
    Zone,
)

__all__ = ('ADDRESS_REUSE_DELAY_S', 'REUSE_MARGIN_S', 'check_address_reuse')

#: Time for which flows to a removed target stay allowed, in seconds. It equals
#: the default idle timeout of flow entries, so that no idle flow is cut off.
ADDRESS_REUSE_DELAY_S: Final = 7440

#: Time for which addresses stay reserved after their flows were revoked, in
#: seconds. An accepted change is in effect on all instances after 9 s; another
#: 9 s cover clock differences between the instances that submit changes.
REUSE_MARGIN_S: Final = 18


class _TimeLeft(NamedTuple):
    """How long addresses stay reserved.

    `is_released` is False while the flows are still allowed; `remaining_s` is
    then the least time, since it counts from the change that revokes them.
    """

    remaining_s: int
    is_released: bool


class _Reservation(NamedTuple):
    """Addresses of one target that stay reserved for its service.

    `address` and `ports` are those of the target, `listeners` those of the
    service that may have flows to it.
    """

    service: str
    address: str
    ports: frozenset[int]
    listeners: tuple[Listener, ...]
    time_left: _TimeLeft


class _PortChange(NamedTuple):
    """Ports of a service on one target address, after and before the change."""

    declared: frozenset[int]
    before: frozenset[int]


def check_address_reuse(
    cfg: Configuration,
    previous: Configuration,
    now_unix_s: int,
    delay_s: int = ADDRESS_REUSE_DELAY_S,
) -> Iterator[ConfigurationError]:
    """Check that no service uses an address that is reserved for another.

    Parameters
    ----------
    cfg : Configuration
        Configuration to check.
    previous : Configuration
        Configuration that is in effect.
    now_unix_s : int
        Current time in seconds since the Unix epoch.
    delay_s : int
        Time for which flows to a retired target stay allowed, in seconds.

    Yields
    ------
    ConfigurationError
        `AddressReuseError` for each target address and `ListenerReuseError`
        for each listener that is reserved for another service.
    """
    reservations = [
        reservation
        for reservation in _reservations(previous, now_unix_s, delay_s)
        if reservation.time_left.remaining_s > 0
    ]
    yield from _check_addresses(cfg, previous, reservations)
    yield from _check_listeners(cfg, previous, reservations)


def _reservations(
    previous: Configuration,
    now_unix_s: int,
    delay_s: int,
) -> Iterator[_Reservation]:
    """Yield a reservation for each declared and each retired target."""
    zones = {zone.name: zone for zone in previous.zones}
    for service in previous.services:
        for target in service.targets:
            zone = zones.get(target.zone, Zone(target.zone))
            yield _Reservation(
                service.name,
                target.address,
                _target_ports(service),
                service.listeners,
                _time_left_of_zone(zone, now_unix_s, delay_s),
            )
    for retired in previous.retired:
        yield _Reservation(
            retired.service,
            retired.target.address,
            frozenset(retired.ports),
            retired.listeners,
            _time_left_of_retired(retired, now_unix_s, delay_s),
        )


def _time_left_of_zone(zone: Zone, now_unix_s: int, delay_s: int) -> _TimeLeft:
    if zone.in_service:
        return _TimeLeft(delay_s + REUSE_MARGIN_S, is_released=False)
    # If the time is unknown, the whole margin remains.
    out_unix_s = zone.out_unix_s or now_unix_s
    return _TimeLeft(_margin_left_s(out_unix_s, now_unix_s), is_released=True)


def _time_left_of_retired(
    retired: RetiredTarget,
    now_unix_s: int,
    delay_s: int,
) -> _TimeLeft:
    if retired.released_unix_s:
        remaining_s = _margin_left_s(retired.released_unix_s, now_unix_s)
        return _TimeLeft(remaining_s, is_released=True)
    # Flows stay allowed until a change revokes them, even after the delay.
    elapsed_s = max(now_unix_s - retired.retired_unix_s, 0)
    remaining_s = max(delay_s - elapsed_s, 0) + REUSE_MARGIN_S
    return _TimeLeft(remaining_s, is_released=False)


def _margin_left_s(released_unix_s: int, now_unix_s: int) -> int:
    # A clock that is behind the time of the release does not add to the margin.
    return REUSE_MARGIN_S - max(now_unix_s - released_unix_s, 0)


def _check_addresses(
    cfg: Configuration,
    previous: Configuration,
    reservations: Iterable[_Reservation],
) -> Iterator[ConfigurationError]:
    by_address: dict[str, list[_Reservation]] = defaultdict(list)
    for reservation in reservations:
        by_address[reservation.address].append(reservation)
    earlier = _ports_by_service_address(previous)
    current = _ports_by_service_address(cfg)
    for key, ports in current.items():
        name, address = key
        added = _PortChange(ports, earlier.get(key, frozenset()))
        blocking = _longest_by_service(
            candidate
            for candidate in by_address.get(address, ())
            if candidate.service != name
            and _is_blocked(candidate, added, current)
        )
        for other, time_left in blocking.items():
            yield AddressReuseError(address, name, other, *time_left)


def _is_blocked(
    reservation: _Reservation,
    ports: _PortChange,
    current: Mapping[tuple[str, str], frozenset[int]],
) -> bool:
    """Return whether a reservation of another service forbids these ports.

    A service may not add a port that is reserved. It may add other ports on a
    reserved address only if the service that holds the reservation still
    declares the address, or if it used the address before the change itself.
    """
    if reservation.ports & (ports.declared - ports.before):
        return True
    is_shared = (reservation.service, reservation.address) in current
    return bool(reservation.ports) and not ports.before and not is_shared


def _check_listeners(
    cfg: Configuration,
    previous: Configuration,
    reservations: Iterable[_Reservation],
) -> Iterator[ConfigurationError]:
    by_endpoint: dict[tuple[str, int], list[_Reservation]] = defaultdict(list)
    for reservation in reservations:
        for reserved_listener in reservation.listeners:
            endpoint = (reserved_listener.address, reserved_listener.port)
            by_endpoint[endpoint].append(reservation)
    earlier = {
        (service.name, listener.address, listener.port)
        for service in previous.services
        for listener in service.listeners
    }
    for service in cfg.services:
        for declared in service.listeners:
            endpoint = (declared.address, declared.port)
            if (service.name, *endpoint) in earlier:
                continue
            blocking = _longest_by_service(
                candidate
                for candidate in by_endpoint.get(endpoint, ())
                if candidate.service != service.name
            )
            for other, time_left in blocking.items():
                yield ListenerReuseError(
                    *endpoint, service.name, other, *time_left
                )


def _longest_by_service(
    reservations: Iterable[_Reservation],
) -> dict[str, _TimeLeft]:
    """Return the longest time left of the reservations of each service."""
    longest: dict[str, _TimeLeft] = {}
    for reservation in reservations:
        known = longest.get(reservation.service)
        if (
            known is None
            or known.remaining_s < reservation.time_left.remaining_s
        ):
            longest[reservation.service] = reservation.time_left
    return longest


def _ports_by_service_address(
    cfg: Configuration,
) -> dict[tuple[str, str], frozenset[int]]:
    """Return the target ports by service name and target address."""
    return {
        (service.name, target.address): _target_ports(service)
        for service in cfg.services
        for target in service.targets
    }


def _target_ports(service: Service) -> frozenset[int]:
    return frozenset(listener.target_port for listener in service.listeners)
