"""Configurations and loads of the deployments that simulations run.

Each one has a service with short requests and a service with long flows.
"""

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
    """Configuration of a region with its latencies and load.

    Parameters
    ----------
    cfg : Configuration
        Zones, services and targets; the first service takes requests, the
        second one long flows.
    instances : int
        Number of instances, spread evenly over the zones.
    zone_latency_s, caller_latency_s : float
        One-way latencies between two zones, and between a caller and an
        instance, in seconds.
    work_ms : float
        Mean execution time of a request in milliseconds.
    requests_per_s : float
        Requests per second offered to the first service.
    streams : int
        Number of long flows kept open at the second service.
    """

    cfg: Configuration
    instances: int
    zone_latency_s: float
    caller_latency_s: float
    work_ms: float
    requests_per_s: float
    streams: int


def _create_targets(
    prefix: str, subnet: int, zones: str, count: int, slots: int
) -> tuple[Target, ...]:
    """Return targets that are spread evenly over the zones.

    `zones` has one letter per zone.
    """
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


def _create_configuration(
    region: str,
    zones: str,
    services: tuple[Service, ...],
) -> Configuration:
    """Return the configuration of a region; `zones` has a letter per zone."""
    return Configuration(region, tuple(Zone(zone) for zone in zones), services)


def _create_alfold() -> Deployment:
    """Return the deployment with three zones and higher latencies."""
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
        _create_targets('desk', 1, 'abc', 7, 4),
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
        _create_targets('archive', 2, 'abc', 3, 4),
    )
    return Deployment(
        _create_configuration('alfold', 'abc', (desk, archive)),
        instances=7,
        zone_latency_s=0.0015,
        caller_latency_s=0.003,
        work_ms=20,
        requests_per_s=250,
        streams=90,
    )


def _create_lisboa() -> Deployment:
    """Return the deployment with four zones and lower latencies."""
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
        _create_targets('status', 3, 'abcd', 7, 2),
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
        _create_targets('samples', 4, 'abcd', 4, 2),
    )
    return Deployment(
        _create_configuration('lisboa', 'abcd', (status, samples)),
        instances=8,
        zone_latency_s=0.0005,
        caller_latency_s=0.001,
        work_ms=12,
        requests_per_s=250,
        streams=120,
    )


#: Deployments by the name of their region.
DEPLOYMENTS = {'alfold': _create_alfold(), 'lisboa': _create_lisboa()}
