import pytest
from msgspec.structs import replace

from siskinproxy.operators import (
    describe_kept,
    keep_operational_state,
    with_target_draining,
)
from siskinproxy.operators.tests import samples

CFG = samples.CONFIGURATION
ZONE_A_OUT = samples.with_zone_a(in_service=False, out_unix_s=5)
DRAINED = with_target_draining(CFG, 'desk-1', flag=True)
RENAMED = samples.with_services(
    replace(
        samples.DESK,
        targets=(replace(samples.DESK_1, name='desk-9'), samples.DESK_2),
    ),
)
NEW_ADDRESS = samples.with_services(
    replace(
        samples.DESK,
        targets=(replace(samples.DESK_1, address='127.1.1.7'),),
    ),
)

KEPT = {
    'same': (CFG, CFG, []),
    'zone-out': (
        ZONE_A_OUT,
        CFG,
        ['zone a stays out of service: set by command'],
    ),
    'zone-in': (
        CFG,
        ZONE_A_OUT,
        ['zone a stays in service: set by command'],
    ),
    'draining': (
        DRAINED,
        CFG,
        ['target desk-1 stays draining: set by command'],
    ),
    'not-draining': (
        CFG,
        DRAINED,
        ['target desk-1 stays not draining: set by command'],
    ),
    'renamed': (
        DRAINED,
        RENAMED,
        ['target desk-9 stays draining: set by command'],
    ),
    'new-address': (
        DRAINED,
        NEW_ADDRESS,
        ['target desk-1 stays draining: set by command'],
    ),
    'zone-removed': (ZONE_A_OUT, replace(CFG, zones=()), []),
}


@pytest.mark.parametrize(
    ('running', 'declared', 'lines'),
    KEPT.values(),
    ids=KEPT,
)
def test_submitting_a_script_undoes_no_command(running, declared, lines):
    """Guards against a submission that reverses a command.

    A script that is submitted again still declares the state from before the
    command.
    """
    found, kept = keep_operational_state(running, declared)
    assert [describe_kept(each) for each in kept] == lines
    if not lines:
        assert found == declared
    # The result agrees with the running state, so nothing is left to keep.
    assert keep_operational_state(running, found) == (found, ())


def test_keeps_what_the_script_declares():
    """Guards against a submission that loses its other changes.

    Only the drain state of a target is taken from the running configuration;
    the submitted number of slots must take effect.
    """
    declared = replace(samples.DESK_1, slots=9, draining=True)
    desk = replace(samples.DESK, targets=(declared,))
    found, _ = keep_operational_state(CFG, samples.with_services(desk))
    assert found.services[0].targets == (replace(samples.DESK_1, slots=9),)
