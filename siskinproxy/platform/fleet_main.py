"""Operators' tool on the users' platform (``siskinproxy-fleet``)."""

from typing import Final

import fire

from siskinproxy.entry.records import Address
from siskinproxy.operators.fleetctl import FleetCommands, FleetPlatform
from siskinproxy.platform.http_store import HttpStore
from siskinproxy.platform.records import CONFIGURATION_KEY, decode_item
from siskinproxy.settings_file import run_or_exit

__all__ = ('PlatformFleetCommands', 'main')

#: Longer than the timeout of instances: a person waits, and a slow store
#: still answers the question.
STORE_TIMEOUT_S: Final = 3.0


def _open_store(address: Address) -> HttpStore:
    return HttpStore(address, STORE_TIMEOUT_S)


class PlatformFleetCommands(FleetCommands):
    """Commands that read the platform's store."""

    _platform = FleetPlatform(_open_store, CONFIGURATION_KEY, decode_item)


def main() -> None:
    """Entry point of ``siskinproxy-fleet``."""
    run_or_exit(fire.Fire, PlatformFleetCommands, name='siskinproxy-fleet')


if __name__ == '__main__':
    main()
