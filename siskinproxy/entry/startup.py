"""What happens before the program of the entry process is loaded.

Loading it takes some hundred milliseconds on a slow instance. Meanwhile:

- SIGHUP, whose default action ends a process, is noted for later.
- Garbage is not collected: the objects of a program that is being loaded stay,
  and looking for garbage takes a tenth of the time.

`begin` is called before anything else is imported. `EntryProcess` calls
`finish` and `replace_signal_handlers` when its parts run. Until `begin` has run, a signal still ends the process, so this module
itself imports only what the interpreter has loaded already.
"""

from __future__ import annotations

import gc
import os
import signal
from importlib import import_module

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = (
    'begin',
    'finish',
    'replace_signal_handlers',
)

_received: set[int] = set()


def begin() -> None:
    """Handle signals, and do not collect garbage until `finish`.

    SIGTERM and SIGINT end the process at once: nothing is open yet, so an
    early stop has nothing to finish.
    """
    gc.disable()
    signal.signal(signal.SIGTERM, _end)
    signal.signal(signal.SIGINT, _end)
    # Last: whoever sees this handler can rely on the others.
    signal.signal(signal.SIGHUP, _note)


def finish() -> None:
    """Collect garbage from now on."""
    gc.enable()


def replace_signal_handlers(
    on_stop: Callable[[], None], on_reload: Callable[[], None]
) -> None:
    """Handle signals in the event loop from now on.

    Parameters
    ----------
    on_stop : callable
        Called for SIGTERM and SIGINT.
    on_reload : callable
        Called for SIGHUP, and at once if one has been noted: the settings may
        have changed after they were read.
    """
    handle = import_module('gevent').signal_handler
    handle(signal.SIGTERM, on_stop)
    handle(signal.SIGINT, on_stop)
    handle(signal.SIGHUP, on_reload)
    if signal.SIGHUP in _received:
        _received.clear()
        on_reload()


def _note(number: int, frame: object) -> None:
    _received.add(number)


def _end(number: int, frame: object) -> None:
    os._exit(0)  # noqa: SLF001
