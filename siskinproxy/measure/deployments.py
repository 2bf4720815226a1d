"""Configurations and loads of the two deployments."""

from dataclasses import dataclass

from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    Service,
    Target,
    Zone,
)

__all__ = ('DEPLOYMENTS', 'Deployment')


@dataclass(frozen=True)
class Deployment:
    """Deployment with its latencies and load.

    Parameters
    ----------
    cfg : Configuration
        Zones, services and targets; the first service takes requests, the
        second one long flows.
    instances : int
        Entry instances, spread over the zones.
    zone_latency_s, caller_latency_s : float
        One-way latencies in seconds.
    work_ms : float
        Mean execution time of a request in milliseconds.
    requests_per_s : float
        Requests offered to the first service.
    streams : int
        Long flows kept open at the second service.
    """

    cfg: Configuration
    instances: int
    zone_latency_s: float
    caller_latency_s: float
    work_ms: float
    requests_per_s: float
    streams: int


def _targets(
    prefix: str, subnet: int, zones: str, count: int, slots: int
) -> tuple[Target, ...]:
    return tuple(
        Target(
            f'{prefix}-{number + 1}',
            f'127.1.{subnet}.{number + 1}',
            zones[number % len(zones)],
            slots=slots,
            warmup_s=15,
        )
        for number in range(count)
    )


def _configuration(
    region: str,
    zones: str,
    services: tuple[Service, ...],
) -> Configuration:
    return Configuration(region, tuple(Zone(zone) for zone in zones), services)


def _alfold() -> Deployment:
    desk = Service(
        'ticket-desk',
        (
            Listener(
                '203.0.113.1', 8001, 7000, priority=0, name='weight-submission'
            ),
            Listener(
                '203.0.113.1',
                8002,
                7001,
                idempotent=True,
                name='blank-tickets',
            ),
        ),
        _targets('desk', 1, 'abc', 7, 4),
    )
    archive = Service(
        'ledger-archive',
        (
            Listener(
                '203.0.113.2',
                8003,
                7002,
                'stream',
                2,
                5000,
                name='ledgers',
            ),
        ),
        _targets('archive', 2, 'abc', 3, 4),
    )
    return Deployment(
        _configuration('alfold', 'abc', (desk, archive)),
        instances=7,
        zone_latency_s=0.0015,
        caller_latency_s=0.003,
        work_ms=20,
        requests_per_s=250,
        streams=90,
    )


def _lisboa() -> Deployment:
    status = Service(
        'status-and-licence',
        (
            Listener(
                '203.0.113.3',
                8001,
                7000,
                priority=0,
                idempotent=True,
                name='status-check',
            ),
            Listener(
                '203.0.113.3',
                8002,
                7001,
                priority=0,
                name='licence-activation',
            ),
        ),
        _targets('status', 3, 'abcd', 7, 2),
    )
    samples = Service(
        'sample-download',
        (
            Listener(
                '203.0.113.4',
                8003,
                7002,
                'stream',
                2,
                5000,
                name='samples',
            ),
        ),
        _targets('samples', 4, 'abcd', 4, 2),
    )
    return Deployment(
        _configuration('lisboa', 'abcd', (status, samples)),
        instances=8,
        zone_latency_s=0.0005,
        caller_latency_s=0.001,
        work_ms=12,
        requests_per_s=250,
        streams=120,
    )


#: Deployments by region.
DEPLOYMENTS = {'alfold': _alfold(), 'lisboa': _lisboa()}
