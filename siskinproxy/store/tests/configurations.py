"""Builders of configurations for the tests of the store."""

from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    Service,
    Target,
    Zone,
)

REGION = 'alfold'
ZONES = (Zone('a'), Zone('b'), Zone('c'))
ZONES_WITHOUT_C = (*ZONES[:2], Zone('c', in_service=False))


def make_service(number, targets=3, slots=4):
    """Return a service whose targets are spread over the zones in turn."""
    name = f'service-{number:03}'
    return Service(
        name,
        (Listener(f'203.0.113.{number}', 443, 8443, deadline_ms=800),),
        tuple(
            Target(
                f'{name}-{index}',
                f'10.0.{number}.{index}',
                ZONES[index % 3].name,
                slots=slots,
            )
            for index in range(targets)
        ),
    )


def make_configuration(services=2, slots=4, zones=ZONES):
    """Return a configuration; ``slots`` applies to the first service only."""
    return Configuration(
        REGION,
        zones,
        tuple(
            make_service(number, slots=4 if number else slots)
            for number in range(services)
        ),
    )
