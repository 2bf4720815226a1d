"""Tests of the counts of the calls to the store."""

import pytest

from siskinproxy.entry.store_calls import (
    LOG_INTERVAL_S,
    CallCause,
    CallKind,
    StoreCalls,
)
from siskinproxy.entry.tests.fakes import Events


@pytest.mark.parametrize(
    ('kind', 'cause', 'lines'),
    [
        (CallKind.WATCH, CallCause.FAILURE, 2),
        (CallKind.READ, CallCause.HISTORY_LOST, 2),
        (CallKind.WATCH, CallCause.READER, 0),
        (CallKind.RENEW, CallCause.DUE, 0),
    ],
)
def test_a_cause_that_repeats_is_logged_rarely(kind, cause, lines):
    """Guards against a store that is asked in vain without a trace.

    A line for each call would be as bad: a store that refuses many instances
    would fill their logs.
    """
    now_s = 0.0
    events = Events()
    calls = StoreCalls(events, lambda: now_s)
    while now_s <= 2 * LOG_INTERVAL_S:
        calls.note(kind, cause)
        now_s += LOG_INTERVAL_S / 10
    assert calls.values() == {(kind.value, cause.value): 21}
    assert len(events.named('store_calls_repeated')) == lines


def test_a_single_call_is_not_logged():
    """Guards against lines for ordinary starts."""
    events = Events()
    calls = StoreCalls(events, lambda: 0.0)
    calls.note(CallKind.READ, CallCause.START)
    calls.note(CallKind.READ, CallCause.NEXT_PAGE, 0)
    assert not events.events
    assert calls.values()['read', 'start'] == 1
