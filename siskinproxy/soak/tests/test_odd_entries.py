"""Entries of other writers against real entry processes.

The entries are odd; the processes must neither end nor stop following changes.
"""

import json
from contextlib import closing

import gevent
import pytest

from siskinproxy.errors import StoreUnavailableError
from siskinproxy.soak import run
from siskinproxy.soak.odd_entries import ODD_ITEMS
from siskinproxy.soak.records import TargetDescription, target_item
from siskinproxy.soak.run import Soak

#: Time in which a change must be in force, in seconds: the bound of the
#: platform on changes of the configuration.
APPLY_S = 3.0
DIGITS_401 = 10**400
#: Longest start of all processes on a busy machine, in seconds.
START_S = 20
#: Section of the settings as in production.
LOAD_SECTION = """
[load]
lanes = true
refuse_early = true
learn_speeds = true
reset_ended = true
"""


def wait_for(condition, timeout_s=APPLY_S):
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.05)


def is_ready(process):
    try:
        return process.fetch_status().readiness == 'ready'
    except StoreUnavailableError:
        return False


def check_serving(soak):
    """Check that all processes follow a change that comes now, and serve."""
    soak._change_configuration()
    for process in soak._processes:
        assert not process.has_exited()
        wait_for(
            lambda each=process: (
                each.fetch_status().config_version == soak._version
            )
        )
    assert soak._send_final_requests() == 60


@pytest.fixture
def soak(tmp_path, request, monkeypatch):
    with_load = f'{run.SETTINGS_TEMPLATE}{LOAD_SECTION}'
    monkeypatch.setattr(run, 'SETTINGS_TEMPLATE', with_load)
    # The seed selects the loopback network, so each test has one of its own.
    found = Soak(request.param, tmp_path)
    found.start()
    with closing(found):
        found._wait_until_ready()
        # While fewer than half are ready, the fabric uses those that start.
        for process in found._processes:
            wait_for(lambda each=process: is_ready(each), START_S)
        yield found


@pytest.mark.parametrize('soak', [190], indirect=True)
def test_odd_entries_end_no_process_and_hide_no_change(soak):
    """Guards against an entry of another writer that stops a service.

    A target whose `slots` had 401 digits stopped all openings of its service.
    A registration with a port out of range ended the greenlet that follows
    changes, while the process stayed ready.
    """
    for key, value in ODD_ITEMS:
        soak._store.put(key, value)
        check_serving(soak)


@pytest.mark.parametrize('soak', [191], indirect=True)
def test_an_odd_start_of_a_known_target_hides_no_change(soak):
    """Guards against a start out of range under the id of a known target.

    It once ended the greenlet that follows changes.
    """
    known = soak._targets[0]
    key, value = target_item(
        TargetDescription(
            known.target_id, known.service, known.address, False, 2
        )
    )
    odd = json.loads(value) | {'born': DIGITS_401}
    soak._store.put(key, json.dumps(odd).encode())
    check_serving(soak)
    soak._store.put(key, value)
    check_serving(soak)
