"""Configuration of Vozes do Tejo, Lda., region lisboa.

Prints the configuration as JSON: python examples/vozes_do_tejo.py
"""

from siskinproxy.operators.builders import ConfigurationBuilder, configuration

ZONES = ('a', 'b', 'c', 'd')
STATUS_TARGETS = 7
DOWNLOAD_TARGETS = 4
#: Offset of the last address byte of download servers, which keeps their
#: addresses apart from those of status servers.
DOWNLOAD_OFFSET = 100


def declare() -> ConfigurationBuilder:
    """Declare the zones and both services."""
    cfg = configuration(region='lisboa')
    for zone in ZONES:
        cfg.zone(zone)
    declare_status_and_licence(cfg)
    declare_sample_download(cfg)
    return cfg


def declare_status_and_licence(cfg: ConfigurationBuilder) -> None:
    """Declare the service for pack status checks and licence activations."""
    status = cfg.service('status-and-licence')
    status.listener(
        '203.0.113.1',
        8001,
        target_port=7000,
        name='status-check',
        priority=0,
        idempotent=True,
    )
    # An activation that is executed twice uses a licence twice.
    status.listener(
        '203.0.113.1',
        8002,
        target_port=7001,
        name='licence-activation',
        priority=0,
        idempotent=False,
    )
    for index in range(STATUS_TARGETS):
        zone_index, number = index % len(ZONES), index // len(ZONES) + 1
        status.target(
            f'status-{index + 1}',
            f'127.1.{zone_index + 1}.{number}',
            zone=ZONES[zone_index],
            slots=2,
            connections=2000,
        )


def declare_sample_download(cfg: ConfigurationBuilder) -> None:
    """Declare the service that streams large sample files."""
    download = cfg.service('sample-download')
    download.listener(
        '203.0.113.2',
        8003,
        target_port=7002,
        name='samples',
        mode='stream',
        priority=2,
    )
    for index in range(DOWNLOAD_TARGETS):
        download.target(
            f'download-{index + 1}',
            f'127.1.{index + 1}.{DOWNLOAD_OFFSET + 1}',
            zone=ZONES[index],
            slots=2,
            connections=2000,
        )


if __name__ == '__main__':
    declare().print()
