"""Start of the entry process with the platform's store and packet format."""

import sys
from contextlib import closing
from typing import Any

from siskinproxy.entry.cluster_state import StoreSchema
from siskinproxy.entry.process import EntryProcess
from siskinproxy.entry.records import parse_endpoint
from siskinproxy.entry.settings import EntrySettings
from siskinproxy.errors import (
    EXIT_GREENLET_FAILED,
    GreenletFailedError,
    SettingsError,
)
from siskinproxy.platform.http_store import HttpStore
from siskinproxy.platform.packets import PlatformCodec
from siskinproxy.platform.records import WATCHED_PREFIX, decode_item
from siskinproxy.settings_file import read_settings, run_or_exit

__all__ = ('run',)

_STORE_SCHEMA = StoreSchema(prefix=WATCHED_PREFIX, decode=decode_item)

#: Timeout of a call to the store, which responds within milliseconds unless it
#: has failed.
STORE_TIMEOUT_S = 0.5


def run(path: str) -> None:
    """Run the entry process until it receives a signal to stop.

    Parameters
    ----------
    path : str
        Settings file.

    Raises
    ------
    SystemExit
        The settings are wrong, or the process has given itself up.
    """
    replaced: list[tuple[SettingsError, Any]] = []
    cfg = run_or_exit(
        read_settings,
        path,
        EntrySettings,
        lambda exc, used: replaced.append((exc, used)),
    )
    store = HttpStore(parse_endpoint(cfg.store.address), STORE_TIMEOUT_S)
    caller_port = parse_endpoint(cfg.listeners.packet).port
    process = EntryProcess(
        path, cfg, PlatformCodec(caller_port), _STORE_SCHEMA, store
    )
    with closing(process):
        process.start()
        for fault, used in replaced:
            process.report_replaced(fault, used)
        try:
            process.wait()
        except GreenletFailedError as exc:
            sys.stderr.write(f'error=process {exc}\n')
            sys.exit(EXIT_GREENLET_FAILED)
