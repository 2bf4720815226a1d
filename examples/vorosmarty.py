"""Configuration of Vörösmarty és Társa Gumibálázó Kft., region alfold.

Prints the configuration as JSON: python examples/vorosmarty.py
"""

from siskinproxy.operators.builders import ConfigurationBuilder, configuration

ZONES = ('a', 'b', 'c')
TICKET_DESK_TARGETS = 7
LEDGER_ARCHIVE_TARGETS = 3
#: Offset of the last address byte of archive servers, which keeps their
#: addresses apart from those of ticket desk servers.
LEDGER_ARCHIVE_OFFSET = 100


def declare() -> ConfigurationBuilder:
    """Declare the zones and both services."""
    cfg = configuration(region='alfold')
    for zone in ZONES:
        cfg.zone(zone)
    declare_ticket_desk(cfg)
    declare_ledger_archive(cfg)
    return cfg


def declare_ticket_desk(cfg: ConfigurationBuilder) -> None:
    """Declare the service for weight submissions and blank tickets."""
    desk = cfg.service('ticket-desk')
    # A submission that is executed twice bills the recycler twice.
    desk.listener(
        '203.0.113.1',
        8001,
        target_port=7000,
        name='weight-submission',
        priority=0,
        deadline_ms=1000,
        idempotent=False,
    )
    desk.listener(
        '203.0.113.1',
        8002,
        target_port=7001,
        name='blank-tickets',
        priority=1,
        idempotent=True,
    )
    for index in range(TICKET_DESK_TARGETS):
        zone_index, number = index % len(ZONES), index // len(ZONES) + 1
        desk.target(
            f'desk-{index + 1}',
            f'127.1.{zone_index + 1}.{number}',
            zone=ZONES[zone_index],
            slots=4,
            connections=2000,
        )


def declare_ledger_archive(cfg: ConfigurationBuilder) -> None:
    """Declare the service that streams the monthly dispatch ledgers."""
    archive = cfg.service('ledger-archive')
    archive.listener(
        '203.0.113.2',
        8003,
        target_port=7002,
        name='ledgers',
        mode='stream',
        priority=2,
    )
    for index in range(LEDGER_ARCHIVE_TARGETS):
        archive.target(
            f'archive-{index + 1}',
            f'127.1.{index + 1}.{LEDGER_ARCHIVE_OFFSET + 1}',
            zone=ZONES[index],
            slots=4,
            connections=2000,
        )


if __name__ == '__main__':
    declare().print()
