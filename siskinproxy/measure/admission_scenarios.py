"""Deployments and scenarios for the simulation of admission policies."""

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
        Fraction of the new flows of the deployment.
    service_time_s : float
        Mean service time of a flow at a warm target, in seconds.
    """

    listener: Listener
    share: float
    service_time_s: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Service with its traffic and network latencies.

    Parameters
    ----------
    name : str
        Name in the results and on the command line.
    zones : tuple of str
        Availability zones; the instance that decides is in the first one.
    service : Service
        Service with its targets.
    traffic : tuple of Traffic
        Flows of each listener.
    rate_per_s : float
        New flows per second, over all listeners.
    zone_latency_s : float
        One-way latency between two zones, in seconds.
    client_latency_s : float
        One-way latency between a caller and an instance, in seconds.
    start_s : float
        Time after the start of the run, in seconds, from which flows count.
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
        """Mode of the listeners, which is the same for all of them."""
        return self.traffic[0].listener.mode


@dataclass(frozen=True, slots=True)
class Action:
    """Change or failure during a scenario.

    Parameters
    ----------
    after_s : float
        Time after ``Deployment.start_s``, in seconds.
    kind : str
        Name of the ``_do_`` method of the simulation, without this prefix.
    subject : str
        Name of the target, or last letter of the zone, that is affected; empty
        if there is none.
    """

    after_s: float
    kind: str
    subject: str = ''


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and the changes and failures during a run.

    Parameters
    ----------
    name : str
        Name in the results and on the command line.
    actions : tuple of Action
        Changes and failures, ordered by time.
    load : float
        Factor on ``Deployment.rate_per_s``.
    measured_s : float
        Duration of the measurement, in seconds.
    slow_share : float
        Fraction of the requests whose service time is 20 times as long,
        regardless of the target.
    """

    name: str
    actions: tuple[Action, ...] = ()
    load: float = 1
    measured_s: float = 100
    slow_share: float = 0


def _create_targets(
    count: int, zones: tuple[str, ...], slots: int
) -> tuple[Target, ...]:
    """Return targets that are spread evenly over the zones."""
    return tuple(
        Target(
            f'target-{index}',
            f'10.1.0.{index + 1}',
            zones[index % len(zones)],
            slots=slots,
        )
        for index in range(count)
    )


def _create_deployment(
    name: str,
    zones: tuple[str, ...],
    targets: tuple[Target, ...],
    traffic: tuple[Traffic, ...],
    rate_per_s: float,
) -> Deployment:
    """Return a deployment with the latencies of its region.

    Latencies are higher in alfold. Measuring starts later with streams, whose
    flows last longer.
    """
    listeners = tuple(item.listener for item in traffic)
    is_distant = zones[0].startswith('alfold')
    is_stream = listeners[0].mode == 'stream'
    return Deployment(
        name=name,
        zones=zones,
        service=Service(name, listeners, targets),
        traffic=traffic,
        rate_per_s=rate_per_s,
        zone_latency_s=0.0015 if is_distant else 0.0005,
        client_latency_s=0.003 if is_distant else 0.001,
        start_s=100 if is_stream else 15,
    )


_ALFOLD_ZONES: Final = ('alfold-a', 'alfold-b', 'alfold-c')
_LISBOA_ZONES: Final = ('lisboa-a', 'lisboa-b', 'lisboa-c', 'lisboa-d')

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

#: Two deployments with requests, then two with streams.
DEPLOYMENTS: Final = (
    _create_deployment(
        'ticket-desk',
        _ALFOLD_ZONES,
        _create_targets(7, _ALFOLD_ZONES, slots=4),
        (Traffic(_SUBMISSIONS, 0.3, 0.06), Traffic(_TICKETS, 0.7, 0.06)),
        220,
    ),
    _create_deployment(
        'status-and-licence',
        _LISBOA_ZONES,
        _create_targets(7, _LISBOA_ZONES, slots=2),
        (Traffic(_ACTIVATIONS, 0.1, 0.035), Traffic(_CHECKS, 0.9, 0.035)),
        220,
    ),
    _create_deployment(
        'ledger-archive',
        _ALFOLD_ZONES,
        _create_targets(3, _ALFOLD_ZONES, slots=4),
        (Traffic(_LEDGERS, 1, 30),),
        30,
    ),
    _create_deployment(
        'sample-download',
        _LISBOA_ZONES,
        _create_targets(4, _LISBOA_ZONES, slots=2),
        (Traffic(_SAMPLES, 1, 30),),
        40,
    ),
)

#: Names of the targets that scenarios drain, restart or make cold.
_FIRST_TARGET: Final = 'target-1'
_SECOND_TARGET: Final = 'target-4'

#: Scenarios of deployments whose listeners have mode ``request``.
REQUEST_SCENARIOS: Final = (
    Scenario('steady'),
    Scenario(
        'zone_out_and_back',
        (Action(15, 'zone_out', 'b'), Action(45, 'zone_in', 'b')),
    ),
    # While the zone is out of service, the utilization of the other targets is
    # 83% (ticket-desk) and 94% (status-and-licence).
    Scenario(
        'zone_out_high_load',
        (Action(15, 'zone_out', 'b'), Action(45, 'zone_in', 'b')),
        load=1.15,
    ),
    Scenario(
        'drained_restart',
        (
            Action(10, 'drain', _FIRST_TARGET),
            Action(20, 'return_cold', _FIRST_TARGET),
            Action(55, 'drain', _SECOND_TARGET),
            Action(62, 'return_cold', _SECOND_TARGET),
        ),
    ),
    Scenario(
        'unannounced_restart',
        (
            Action(15, 'restart', _FIRST_TARGET),
            Action(55, 'restart', _SECOND_TARGET),
        ),
    ),
    Scenario(
        'lost_cache',
        (
            Action(15, 'lose_cache', _FIRST_TARGET),
            Action(55, 'lose_cache', _SECOND_TARGET),
        ),
    ),
    Scenario(
        'lost_cache_high_load',
        (
            Action(15, 'lose_cache', _FIRST_TARGET),
            Action(55, 'lose_cache', _SECOND_TARGET),
        ),
        load=1.5,
    ),
    Scenario(
        'shedding',
        (
            Action(15, 'shed', _FIRST_TARGET),
            Action(45, 'stop_shedding', _FIRST_TARGET),
        ),
    ),
    Scenario('owner_fails', (Action(20, 'takeover'), Action(50, 'takeover'))),
    Scenario('slow_requests', slow_share=0.01),
    Scenario('overload', load=3, measured_s=60),
)

#: Scenarios of deployments whose listeners have mode ``stream``.
STREAM_SCENARIOS: Final = (
    Scenario('steady'),
    Scenario(
        'zone_out_and_back',
        (Action(15, 'zone_out', 'b'), Action(45, 'zone_in', 'b')),
        measured_s=140,
    ),
    Scenario(
        'drained_restart',
        (
            Action(10, 'drain', _FIRST_TARGET),
            Action(40, 'return_cold', _FIRST_TARGET),
        ),
        measured_s=140,
    ),
    Scenario('owner_fails', (Action(20, 'takeover'),)),
)
