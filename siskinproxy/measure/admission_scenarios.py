"""Deployments and scenarios for the measurement of admission."""

from dataclasses import dataclass
from typing import Final

from siskinproxy.operators.configuration import Listener, Service, Target
from siskinproxy.targets.target_state import Mode

__all__ = (
    'DEPLOYMENTS',
    'REQUEST_SCENARIOS',
    'STREAM_SCENARIOS',
    'Action',
    'Deployment',
    'Scenario',
    'Traffic',
)


@dataclass(frozen=True, slots=True)
class Traffic:
    """Flows of one listener.

    Parameters
    ----------
    listener : Listener
        Listener with the request class.
    share : float
        Share of the new flows.
    service_s : float
        Mean time that a warm target needs for a flow, in seconds.
    """

    listener: Listener
    share: float
    service_s: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Service with its traffic and network.

    Parameters
    ----------
    name : str
        Name in the results.
    zones : tuple of str
        Availability zones; the owner is in the first one.
    service : Service
        Service with its targets.
    traffic : tuple of Traffic
        Flows of each listener.
    rate_per_s : float
        New flows per second.
    zone_latency_s : float
        One-way latency between two zones.
    client_latency_s : float
        One-way latency between a caller and an instance.
    start_s : float
        Time at which measuring starts.
    """

    name: str
    zones: tuple[str, ...]
    service: Service
    traffic: tuple[Traffic, ...]
    rate_per_s: float
    zone_latency_s: float
    client_latency_s: float
    start_s: float

    @property
    def mode(self) -> Mode:
        """Mode of the listeners."""
        return self.traffic[0].listener.mode


@dataclass(frozen=True, slots=True)
class Action:
    """Event of a scenario.

    Parameters
    ----------
    after_s : float
        Time after the start of measuring, in seconds.
    kind : str
        Method of the driver, without its prefix.
    subject : str
        Target or zone, if the event has one.
    """

    after_s: float
    kind: str
    subject: str = ''


@dataclass(frozen=True, slots=True)
class Scenario:
    """Sequence of events.

    Parameters
    ----------
    name : str
        Name in the results.
    actions : tuple of Action
        Events ordered by time.
    load : float
        Factor on the rate of the deployment.
    measured_s : float
        Length of the measurement.
    slow_share : float
        Share of the requests that take 20 times as long, whatever the target.
    """

    name: str
    actions: tuple[Action, ...] = ()
    load: float = 1
    measured_s: float = 100
    slow_share: float = 0


def _targets(
    count: int, zones: tuple[str, ...], slots: int
) -> tuple[Target, ...]:
    return tuple(
        Target(
            f'target-{index}',
            f'10.1.0.{index + 1}',
            zones[index % len(zones)],
            slots=slots,
        )
        for index in range(count)
    )


def _deployment(
    name: str,
    zones: tuple[str, ...],
    targets: tuple[Target, ...],
    traffic: tuple[Traffic, ...],
    rate_per_s: float,
) -> Deployment:
    listeners = tuple(item.listener for item in traffic)
    distant = zones[0].startswith('alfold')
    is_stream = listeners[0].mode == 'stream'
    return Deployment(
        name=name,
        zones=zones,
        service=Service(name, listeners, targets),
        traffic=traffic,
        rate_per_s=rate_per_s,
        zone_latency_s=0.0015 if distant else 0.0005,
        client_latency_s=0.003 if distant else 0.001,
        start_s=100 if is_stream else 15,
    )


_ALFOLD: Final = ('alfold-a', 'alfold-b', 'alfold-c')
_LISBOA: Final = ('lisboa-a', 'lisboa-b', 'lisboa-c', 'lisboa-d')

_SUBMISSIONS: Final = Listener(
    '10.0.0.1', 443, 8443, priority=0, deadline_ms=2000, name='submissions'
)
_TICKETS: Final = Listener(
    '10.0.0.1', 80, 8080, priority=1, deadline_ms=1000, name='tickets'
)
_ACTIVATIONS: Final = Listener(
    '10.0.0.2', 443, 8443, priority=0, deadline_ms=2000, name='activations'
)
_CHECKS: Final = Listener(
    '10.0.0.2', 80, 8080, priority=1, deadline_ms=500, name='checks'
)
_LEDGERS: Final = Listener(
    '10.0.0.3', 443, 8443, mode='stream', deadline_ms=2000, name='ledgers'
)
_SAMPLES: Final = Listener(
    '10.0.0.4', 443, 8443, mode='stream', deadline_ms=2000, name='samples'
)

DEPLOYMENTS: Final = (
    _deployment(
        'ticket-desk',
        _ALFOLD,
        _targets(7, _ALFOLD, slots=4),
        (Traffic(_SUBMISSIONS, 0.3, 0.06), Traffic(_TICKETS, 0.7, 0.06)),
        220,
    ),
    _deployment(
        'status-and-licence',
        _LISBOA,
        _targets(7, _LISBOA, slots=2),
        (Traffic(_ACTIVATIONS, 0.1, 0.035), Traffic(_CHECKS, 0.9, 0.035)),
        220,
    ),
    _deployment(
        'ledger-archive',
        _ALFOLD,
        _targets(3, _ALFOLD, slots=4),
        (Traffic(_LEDGERS, 1, 30),),
        30,
    ),
    _deployment(
        'sample-download',
        _LISBOA,
        _targets(4, _LISBOA, slots=2),
        (Traffic(_SAMPLES, 1, 30),),
        40,
    ),
)

_FIRST: Final = 'target-1'
_SECOND: Final = 'target-4'

REQUEST_SCENARIOS: Final = (
    Scenario('steady'),
    Scenario(
        'zone_out_and_back',
        (Action(15, 'zone_out', 'b'), Action(45, 'zone_in', 'b')),
    ),
    # The remaining targets are used to 83% (ticket desk) and 94% (status and
    # licence) while the zone is out of service.
    Scenario(
        'zone_out_high_load',
        (Action(15, 'zone_out', 'b'), Action(45, 'zone_in', 'b')),
        load=1.15,
    ),
    Scenario(
        'drained_restart',
        (
            Action(10, 'drain', _FIRST),
            Action(20, 'return_cold', _FIRST),
            Action(55, 'drain', _SECOND),
            Action(62, 'return_cold', _SECOND),
        ),
    ),
    Scenario(
        'unannounced_restart',
        (Action(15, 'restart', _FIRST), Action(55, 'restart', _SECOND)),
    ),
    Scenario(
        'lost_cache',
        (Action(15, 'lose_cache', _FIRST), Action(55, 'lose_cache', _SECOND)),
    ),
    Scenario(
        'lost_cache_high_load',
        (Action(15, 'lose_cache', _FIRST), Action(55, 'lose_cache', _SECOND)),
        load=1.5,
    ),
    Scenario(
        'shedding',
        (Action(15, 'shed', _FIRST), Action(45, 'stop_shedding', _FIRST)),
    ),
    Scenario('owner_fails', (Action(20, 'takeover'), Action(50, 'takeover'))),
    Scenario('slow_requests', slow_share=0.01),
    Scenario('overload', load=3, measured_s=60),
)

STREAM_SCENARIOS: Final = (
    Scenario('steady'),
    Scenario(
        'zone_out_and_back',
        (Action(15, 'zone_out', 'b'), Action(45, 'zone_in', 'b')),
        measured_s=140,
    ),
    Scenario(
        'drained_restart',
        (Action(10, 'drain', _FIRST), Action(40, 'return_cold', _FIRST)),
        measured_s=140,
    ),
    Scenario('owner_fails', (Action(20, 'takeover'),)),
)
