"""Check of a target over TCP: a request for its health page.

Any response shows that the target runs; whether it calls itself healthy does
not count, since openings show better which targets serve.
"""

import time
from typing import Final

from siskinproxy.entry.http_client import HttpClient
from siskinproxy.entry.records import Address
from siskinproxy.entry.responsiveness import CheckOutcome
from siskinproxy.errors import ResponseTooLargeError, StoreError

__all__ = ('CHECK_TIMEOUT_S', 'MAX_HEALTH_BYTES', 'check_target')

#: Timeout of connecting and of the response, in seconds.
CHECK_TIMEOUT_S: Final = 0.4
#: Part of a health page that is read, in bytes; a page that is larger counts as
#: an answer too.
MAX_HEALTH_BYTES: Final = 65536
#: Excess of a check's duration over its timeouts from which on the process
#: counts as paused, in seconds. Then a timeout says nothing about the target.
_PAUSE_S: Final = 0.25


def check_target(address: Address, path: str) -> CheckOutcome | None:
    """Ask a target for its health page.

    Parameters
    ----------
    address : Address
        Address of the target.
    path : str
        HTTP path of the health page.

    Returns
    -------
    CheckOutcome or None
        None if this process was paused, so that the outcome is unknown.
    """
    started_s = time.monotonic()
    client = HttpClient(address, CHECK_TIMEOUT_S, MAX_HEALTH_BYTES)
    outcomes = (CheckOutcome.REFUSED, CheckOutcome.UNREACHABLE)
    timeouts_s = CHECK_TIMEOUT_S
    try:
        client.open()
        outcomes = (CheckOutcome.RESET, CheckOutcome.TIMED_OUT)
        timeouts_s += CHECK_TIMEOUT_S
        client.call('GET', path or '/')
    except ResponseTooLargeError:
        return CheckOutcome.ANSWERED
    except StoreError as exc:
        broken, silent = outcomes
        if isinstance(exc.__cause__, ConnectionError):
            return broken
        lasted_s = time.monotonic() - started_s
        return None if lasted_s > timeouts_s + _PAUSE_S else silent
    finally:
        client.close()
    return CheckOutcome.ANSWERED
