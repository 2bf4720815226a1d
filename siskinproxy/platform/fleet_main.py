"""Main program of ``siskinproxy-fleet``, the operators' command line tool.

It shows the status of all instances, and checks configurations before they
are written to the platform's store.
"""

from typing import Final

import fire

from siskinproxy.entry.records import Address
from siskinproxy.operators.fleetctl import FleetCommands, PlatformStore
from siskinproxy.platform.http_store import HttpStore
from siskinproxy.platform.records import CONFIGURATION_KEY, decode_item
from siskinproxy.settings_file import run_or_exit

__all__ = ('PlatformFleetCommands', 'main')

#: Timeout of a call to the store. Longer than that of instances, since an
#: operator's command can wait for a slow store.
STORE_TIMEOUT_S: Final = 3.0


def _open_store(address: Address) -> HttpStore:
    return HttpStore(address, STORE_TIMEOUT_S)


class PlatformFleetCommands(FleetCommands):
    """Commands of the tool, using the store of the deployment platform."""

    _platform_store = PlatformStore(_open_store, CONFIGURATION_KEY, decode_item)


def main() -> None:
    """Run ``siskinproxy-fleet``; wrong settings end it with exit code 2."""
    run_or_exit(fire.Fire, PlatformFleetCommands, name='siskinproxy-fleet')


if __name__ == '__main__':
    main()
