"""Entry process on the users' platform."""

import os
from contextlib import closing

from siskinproxy.entry.beliefs import Dialect
from siskinproxy.entry.process import EntryProcess
from siskinproxy.entry.records import parse_endpoint
from siskinproxy.entry.settings import EntrySettings
from siskinproxy.platform.http_store import HttpStore
from siskinproxy.platform.packets import PlatformCodec
from siskinproxy.platform.records import WATCHED_PREFIX, decode_item
from siskinproxy.settings_file import read_settings, run_or_exit

__all__ = ('main',)

_DIALECT = Dialect(prefix=WATCHED_PREFIX, decode=decode_item)

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'SISKINPROXY_BOOT'

#: Time after which the store, which answers in milliseconds, has failed.
STORE_TIMEOUT_S = 0.5


def main() -> None:
    """Run until the process is told to stop."""
    path = os.environ[SETTINGS_VARIABLE]
    cfg = run_or_exit(read_settings, path, EntrySettings)
    store = HttpStore(parse_endpoint(cfg.store.address), STORE_TIMEOUT_S)
    caller_port = parse_endpoint(cfg.listeners.packet).port
    process = EntryProcess(
        path, cfg, PlatformCodec(caller_port), _DIALECT, store
    )
    with closing(process):
        process.start()
        process.wait()


if __name__ == '__main__':
    main()
