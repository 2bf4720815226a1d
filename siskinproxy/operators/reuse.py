"""Rule for the reuse of addresses by another service.

While flows of a service may exist, their target and listener addresses belong
to it. A change is not in effect everywhere at once, so an address becomes free
some time after the change that revoked the flows.
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

__all__ = ('ADDRESS_REUSE_DELAY_S', 'REUSE_MARGIN_S', 'check_reuse')

#: Flows to a removed target stay allowed for this time: as long as an idle
#: flow entry lives.
ADDRESS_REUSE_DELAY_S: Final = 7440

#: An accepted change is in effect everywhere after 9 s. The same time again
#: covers differences between the clocks of submitting instances.
REUSE_MARGIN_S: Final = 18


class _Hold(NamedTuple):
    """How long addresses stay with their service."""

    remaining_s: int
    is_released: bool


class _Claim(NamedTuple):
    """Addresses of a service, from the previous configuration."""

    service: str
    address: str
    ports: frozenset[int]
    listeners: tuple[Listener, ...]
    hold: _Hold


class _Ports(NamedTuple):
    """Target ports of a service on one address, now and before."""

    declared: frozenset[int]
    before: frozenset[int]


def check_reuse(
    cfg: Configuration,
    previous: Configuration,
    now_unix_s: int,
    delay_s: int = ADDRESS_REUSE_DELAY_S,
) -> Iterator[ConfigurationError]:
    """Check that no address moves to another service too early.

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
        `AddressReuseError` or `ListenerReuseError`.
    """
    claims = [
        claim
        for claim in _claims(previous, now_unix_s, delay_s)
        if claim.hold.remaining_s > 0
    ]
    yield from _check_addresses(cfg, previous, claims)
    yield from _check_listeners(cfg, previous, claims)


def _claims(
    previous: Configuration,
    now_unix_s: int,
    delay_s: int,
) -> Iterator[_Claim]:
    zones = {zone.name: zone for zone in previous.zones}
    for service in previous.services:
        for target in service.targets:
            zone = zones.get(target.zone, Zone(target.zone))
            yield _Claim(
                service.name,
                target.address,
                _target_ports(service),
                service.listeners,
                _hold_of_zone(zone, now_unix_s, delay_s),
            )
    for retired in previous.retired:
        yield _Claim(
            retired.service,
            retired.target.address,
            frozenset(retired.ports),
            retired.listeners,
            _hold_of_retired(retired, now_unix_s, delay_s),
        )


def _hold_of_zone(zone: Zone, now_unix_s: int, delay_s: int) -> _Hold:
    if zone.in_service:
        return _Hold(delay_s + REUSE_MARGIN_S, is_released=False)
    # Without a time the zone counts as taken out just now.
    out_unix_s = zone.out_unix_s or now_unix_s
    return _Hold(_margin_s(out_unix_s, now_unix_s), is_released=True)


def _hold_of_retired(
    retired: RetiredTarget,
    now_unix_s: int,
    delay_s: int,
) -> _Hold:
    if retired.released_unix_s:
        remaining_s = _margin_s(retired.released_unix_s, now_unix_s)
        return _Hold(remaining_s, is_released=True)
    # The flows are allowed until a change revokes them, however late.
    elapsed_s = max(now_unix_s - retired.retired_unix_s, 0)
    remaining_s = max(delay_s - elapsed_s, 0) + REUSE_MARGIN_S
    return _Hold(remaining_s, is_released=False)


def _margin_s(released_unix_s: int, now_unix_s: int) -> int:
    return REUSE_MARGIN_S - max(now_unix_s - released_unix_s, 0)


def _check_addresses(
    cfg: Configuration,
    previous: Configuration,
    claims: Iterable[_Claim],
) -> Iterator[ConfigurationError]:
    by_address: dict[str, list[_Claim]] = defaultdict(list)
    for claim in claims:
        by_address[claim.address].append(claim)
    kept = _held_ports(previous)
    current = _held_ports(cfg)
    for holder, ports in current.items():
        name, address = holder
        added = _Ports(ports, kept.get(holder, frozenset()))
        blocking = _longest(
            held
            for held in by_address.get(address, ())
            if held.service != name and _is_blocked(held, added, current)
        )
        for other, hold in blocking.items():
            yield AddressReuseError(address, name, other, *hold)


def _is_blocked(
    claim: _Claim,
    ports: _Ports,
    current: Mapping[tuple[str, str], frozenset[int]],
) -> bool:
    """Tell whether a claim forbids a service the use of these ports.

    Two services may share an address with different ports, as long as both
    keep it. The ports of the claim are forbidden in any case.
    """
    if claim.ports & (ports.declared - ports.before):
        return True
    is_shared = (claim.service, claim.address) in current
    return bool(claim.ports) and not ports.before and not is_shared


def _check_listeners(
    cfg: Configuration,
    previous: Configuration,
    claims: Iterable[_Claim],
) -> Iterator[ConfigurationError]:
    by_endpoint: dict[tuple[str, int], list[_Claim]] = defaultdict(list)
    for claim in claims:
        for held_listener in claim.listeners:
            endpoint = (held_listener.address, held_listener.port)
            by_endpoint[endpoint].append(claim)
    kept = {
        (service.name, listener.address, listener.port)
        for service in previous.services
        for listener in service.listeners
    }
    for service in cfg.services:
        for declared in service.listeners:
            endpoint = (declared.address, declared.port)
            if (service.name, *endpoint) in kept:
                continue
            blocking = _longest(
                held
                for held in by_endpoint.get(endpoint, ())
                if held.service != service.name
            )
            for other, hold in blocking.items():
                yield ListenerReuseError(*endpoint, service.name, other, *hold)


def _longest(claims: Iterable[_Claim]) -> dict[str, _Hold]:
    """Return the longest hold of each service."""
    holds: dict[str, _Hold] = {}
    for claim in claims:
        known = holds.get(claim.service)
        if known is None or known.remaining_s < claim.hold.remaining_s:
            holds[claim.service] = claim.hold
    return holds


def _held_ports(
    cfg: Configuration,
) -> dict[tuple[str, str], frozenset[int]]:
    return {
        (service.name, target.address): _target_ports(service)
        for service in cfg.services
        for target in service.targets
    }


def _target_ports(service: Service) -> frozenset[int]:
    return frozenset(listener.target_port for listener in service.listeners)
