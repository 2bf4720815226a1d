"""Open flows of targets that have ended, and of targets that may live."""

import pytest

from siskinproxy.entry.directory import Presence
from siskinproxy.entry.ended_flows import MAX_FLOWS_PER_RUN
from siskinproxy.entry.ended_targets import (
    EndedLimits,
    FlowEvidence,
    Reason,
    Silence,
    TargetEvidence,
    decide,
)
from siskinproxy.entry.packets import ACK, FIN
from siskinproxy.entry.records import Address, RequestKind
from siskinproxy.entry.responsiveness import CheckOutcome
from siskinproxy.entry.tests.fakes import (
    UNIX_START_S,
    Instance,
    configuration,
    packet,
    route,
    target,
)

NOW_S = 20.0
GONE, LAPSED = Presence.GONE, Presence.LAPSED
#: Suspected for 4 s; two checks have failed.
SILENT = Silence(16, failed_checks=2)
REFUSED = Silence(18.5, failed_checks=2, is_refused=True)
CALLER = ('100.64.0.7', 8172)
RST_BYTE = 8
START_MS = int(1000 * UNIX_START_S)


def flow(kind=RequestKind.SAFE, waits_since_s=17.0, **changes):
    return FlowEvidence(
        kind,
        0.25,
        **({'opened_s': 15.0} | changes),
        waits_since_s=waits_since_s,
    )


@pytest.mark.parametrize('kind', RequestKind)
@pytest.mark.parametrize(
    ('evidence', 'reason'),
    [
        ({'presence': GONE, 'silence': SILENT}, Reason.REMOVED),
        ({'presence': GONE, 'reused_s': 19}, Reason.ADDRESS_REUSED),
        ({'presence': LAPSED, 'reused_s': 19}, Reason.ADDRESS_REUSED),
        (
            {'presence': GONE, 'reused_s': 19, 'is_draining': True},
            Reason.ADDRESS_REUSED,
        ),
        ({'restarted_s': 18}, Reason.RESTARTED),
    ],
)
def test_certain_evidence_resets_every_kind(evidence, reason, kind):
    """Guards against callers that wait in silence for a target that is gone."""
    found = decide(TargetEvidence(**evidence), flow(kind), EndedLimits(), NOW_S)
    assert (found.is_reset, found.reason) == (True, reason)


LIKELY = [
    (
        {'presence': GONE, 'has_lapsed': True, 'silence': SILENT},
        Reason.NOT_RETURNED,
    ),
    ({'silence': REFUSED, 'others_heard_s': 19}, Reason.CHECKS_REFUSED),
    ({'silence': SILENT, 'others_heard_s': 19}, Reason.SILENT),
    ({'silence': Silence(16), 'others_heard_s': 19}, Reason.SILENT),
]


@pytest.mark.parametrize(('evidence', 'reason'), LIKELY)
@pytest.mark.parametrize('kind', RequestKind)
def test_likely_evidence_resets_idempotent_requests_only(
    evidence, reason, kind
):
    """Guards against an unknown outcome of a request that is not repeated.

    The target may live; only callers of idempotent requests gain by a reset.
    """
    found = decide(TargetEvidence(**evidence), flow(kind), EndedLimits(), NOW_S)
    is_idempotent = kind in {RequestKind.SAFE, RequestKind.DOWNLOAD}
    expected = reason if is_idempotent else Reason.NOT_IDEMPOTENT
    assert (found.is_reset, found.reason) == (is_idempotent, expected)


@pytest.mark.parametrize(('evidence', '_reason'), LIKELY)
@pytest.mark.parametrize('waits_since_s', [-1, 19.5])
def test_likely_evidence_spares_flows_that_do_not_wait(
    evidence, _reason, waits_since_s
):
    """Guards against a reset of an idle flow, or of one that has just asked.

    Nothing shows that the target no longer serves this flow.
    """
    found = decide(
        TargetEvidence(**evidence),
        flow(waits_since_s=waits_since_s),
        EndedLimits(),
        NOW_S,
    )
    assert (found.is_reset, found.reason) == (False, Reason.NOT_WAITING)


@pytest.mark.parametrize(
    ('evidence', 'reason'),
    [
        pytest.param({}, Reason.NO_EVIDENCE, id='lives'),
        pytest.param({'presence': GONE}, Reason.NOT_SUSPECTED, id='removed'),
        pytest.param(
            {'presence': LAPSED, 'silence': SILENT},
            Reason.LAPSED,
            id='store away',
        ),
        pytest.param(
            {'presence': GONE, 'silence': SILENT, 'is_draining': True},
            Reason.DRAINING,
            id='draining and removed',
        ),
        pytest.param(
            {'silence': SILENT, 'is_draining': True, 'others_heard_s': 19},
            Reason.DRAINING,
            id='draining',
        ),
        pytest.param(
            {'reused_s': 19}, Reason.NO_EVIDENCE, id='two entries listed'
        ),
        pytest.param(
            {'presence': GONE, 'silence': SILENT, 'heard_s': 16.5},
            Reason.ANSWERED,
            id='cut off from the store',
        ),
        pytest.param(
            {'silence': SILENT, 'heard_s': 19, 'others_heard_s': 19},
            Reason.ANSWERED,
            id='full but completes requests',
        ),
        pytest.param(
            {
                'silence': Silence(16, answered_s=17, failed_checks=2),
                'others_heard_s': 19,
            },
            Reason.ANSWERED,
            id='full but answers a check',
        ),
        pytest.param(
            {
                'silence': Silence(16, cleared_s=14, failed_checks=2),
                'others_heard_s': 19,
            },
            Reason.RELAPSED,
            id='full at times',
        ),
        pytest.param(
            {'silence': Silence(18.5, failed_checks=1), 'others_heard_s': 19},
            Reason.TOO_EARLY,
            id='short cut or pause',
        ),
        pytest.param(
            {'silence': Silence(17.5), 'others_heard_s': 19},
            Reason.TOO_EARLY,
            id='no failed check seen here',
        ),
        pytest.param(
            {'silence': Silence(19.5), 'presence': GONE},
            Reason.TOO_EARLY,
            id='removed, just suspected',
        ),
        pytest.param(
            {'silence': SILENT, 'others_heard_s': 15},
            Reason.ALL_SILENT,
            id='own link cut',
        ),
        pytest.param(
            {'silence': SILENT, 'presence': GONE, 'paused_s': 19.5},
            Reason.TOO_EARLY,
            id='own process paused',
        ),
    ],
)
def test_flows_stay_open_in_doubt(evidence, reason):
    """Guards against a reset of a flow whose target lives, which breaks a rule.

    Each case is evidence that a living target may cause as well.
    """
    found = decide(TargetEvidence(**evidence), flow(), EndedLimits(), NOW_S)
    assert (found.is_reset, found.reason) == (False, reason)


@pytest.mark.parametrize(
    'changes', [{'opened_s': 17.5}, {'heard_s': 19}, {'opened_s': -1}]
)
def test_flows_of_the_new_start_stay_open(changes):
    """Guards against a reset of flows that the restarted target holds.

    Clocks differ, so flows from shortly before its start may be its own.
    """
    evidence = TargetEvidence(restarted_s=18)
    found = decide(evidence, flow(**changes), EndedLimits(), NOW_S)
    assert not found.is_reset


RECORDS = [target(number, started_unix_ms=START_MS) for number in (1, 2, 3)]


def open_answered(count=6, kind=RequestKind.SAFE, *, is_on=True):
    """Return an instance with flows that ask at 0 s, and flows by target."""
    cfg = configuration(routes=(route(kind=kind),))
    instance = Instance(targets=RECORDS, cfg=cfg, resets_ended=is_on)
    ports = {}
    for port in range(1000, 1000 + count):
        record = instance.open(port, 0)
        instance.answer(port, record, 0, copy=port, data=b'GET /')
        ports.setdefault(record.name, []).append(port)
    return instance, ports


def find(instance, name):
    return next(
        each for each in instance.directory.targets() if each.name == name
    )


def suspect(instance, name, now_s):
    """Fail two checks of a target, as two witnesses do."""
    known = find(instance, name)
    responsiveness = instance.responsiveness
    responsiveness.note_unanswered(known, now_s - 0.1, now_s)
    responsiveness.note_unanswered(known, now_s - 0.1, now_s)
    for _ in range(2):
        responsiveness.note_check(
            known, CheckOutcome.TIMED_OUT, now_s - 0.1, now_s
        )
    assert responsiveness.is_suspected(known)


def resets(instance):
    """Return the ports of the callers that got a reset, with its number."""
    return {
        int.from_bytes(sent[8:10]): int.from_bytes(sent[15:19])
        for address, sent in instance.outbox.take()
        if address == CALLER and sent[14] == RST_BYTE
    }


@pytest.mark.parametrize('kind', RequestKind)
def test_held_flows_are_reset_once_the_entry_is_removed(kind):
    """Guards against callers that wait silently for their deadline.

    They send nothing, since their request was acknowledged before the end. The
    reset has to carry the number that they acknowledged last.
    """
    instance, ports = open_answered(kind=kind)
    suspect(instance, 't-1', 0.2)
    instance.directory.withdraw('t-1', 3.8, may_return=False)
    instance.responsiveness.expire()
    instance.engine.on_timer(3.9)
    assert resets(instance) == {port: port for port in ports['t-1']}
    assert instance.loads.own_flows_of(find(instance, 't-1')) == 0
    (logged, *_) = instance.events.named('flow_reset')
    assert logged['reason'] == 'removed'
    assert logged['evidence_ms'] == 3700
    assert instance.engine.counters['reset_removed'] == len(ports['t-1'])
    instance.engine.on_timer(4.5)
    assert not resets(instance)


def test_the_next_packet_is_reset_at_any_instance():
    """Guards against silence for a caller whose instance has changed.

    The instance that gets the packet has no state of the flow.
    """
    instance, _ = open_answered(count=0)
    suspect(instance, 't-1', 0.2)
    instance.directory.withdraw('t-1', 3.8, may_return=False)
    late = packet(2000, flags=ACK, token=RECORDS[0].token, copy=77, data=b'x')
    instance.engine.on_packet(late, 4)
    assert resets(instance) == {2000: 77}


@pytest.mark.parametrize(
    ('is_on', 'is_suspected', 'may_return', 'is_draining'),
    [
        (False, True, False, False),
        (True, False, False, False),
        (True, True, True, False),
        (True, True, False, True),
    ],
    ids=['off', 'not suspected', 'store away', 'draining'],
)
def test_flows_of_a_target_that_may_live_are_forwarded(
    is_on, is_suspected, may_return, is_draining
):
    """Guards against a reset where a target may live, and with the setting off.

    The store may have turned the target away, or the target still closes its
    flows.
    """
    instance, ports = open_answered(is_on=is_on)
    if is_suspected:
        suspect(instance, 't-1', 0.2)
    if is_draining:
        leaving = target(1, started_unix_ms=START_MS, is_draining=True)
        instance.directory.announce(leaving, 1)
    instance.directory.withdraw('t-1', 3.8, may_return=may_return)
    instance.engine.on_timer(3.9)
    for port in ports['t-1']:
        sent = instance.answer(port, RECORDS[0], 4, copy=port, data=b'GET /')
        assert [address for address, _ in sent] == [RECORDS[0].address]
    assert not instance.events.named('flow_reset')


def test_a_target_that_completes_requests_keeps_its_flows():
    """Guards against a reset at a server that is full.

    It answers neither openings nor checks, but its callers get their data.
    """
    instance, ports = open_answered()
    suspect(instance, 't-1', 0.2)
    port = ports['t-1'][0]
    instance.answer(port, RECORDS[0], 2, copy=port + 500)
    instance.answer(ports['t-2'][0], RECORDS[1], 2, copy=5000)
    for now_s in (2.5, 3.9):
        instance.engine.on_timer(now_s)
    instance.directory.withdraw('t-1', 3.9, may_return=False)
    instance.engine.on_timer(4)
    assert not resets(instance)


@pytest.mark.parametrize(
    ('kind', 'is_reset'),
    [(RequestKind.SAFE, True), (RequestKind.UNSAFE, False)],
)
def test_silence_of_a_listed_target_resets_waiting_idempotent_flows(
    kind, is_reset
):
    """Guards against idempotent requests that wait until the entry expires."""
    instance, ports = open_answered(kind=kind)
    suspect(instance, 't-1', 0.2)
    instance.answer(ports['t-2'][0], RECORDS[1], 1.0, copy=5000)
    instance.engine.on_timer(1.9)
    assert not resets(instance)
    instance.engine.on_timer(2.5)
    assert sorted(resets(instance)) == (ports['t-1'] if is_reset else [])


@pytest.mark.parametrize(
    ('age_s', 'learned_s', 'is_reset'),
    [(0.5, 3.0, True), (0.5, 1.2, False), (-2.0, 3.0, False), (9, 3.0, False)],
    ids=['restart', 'flows of the new start', 'clock ahead', 'learned late'],
)
def test_flows_from_before_a_restart_are_reset(age_s, learned_s, is_reset):
    """Guards against silence after a restart under the same id.

    The new incarnation holds nothing of before and knows no flow to reset.
    """
    instance, ports = open_answered()
    started_ms = START_MS + 5000
    instance.unix_s = started_ms / 1000 + age_s
    restarted = target(1, started_unix_ms=started_ms)
    instance.directory.announce(restarted, learned_s)
    instance.engine.on_timer(learned_s)
    assert sorted(resets(instance)) == (ports['t-1'] if is_reset else [])


@pytest.mark.parametrize(
    ('is_absent', 'later_ms', 'is_reset'),
    [(True, 9000, True), (False, 9000, False), (True, -9000, False)],
)
def test_a_later_owner_of_the_address_ends_the_flows(
    is_absent, later_ms, is_reset
):
    """Guards against flows to an address that another service now has.

    An entry that claims the address of a listed target proves nothing.
    """
    instance, ports = open_answered()
    if is_absent:
        instance.directory.withdraw('t-1', 1, may_return=False)
    owner = target(
        9,
        'archive',
        address=Address('10.0.0.1', 8080),
        started_unix_ms=START_MS + later_ms,
    )
    instance.directory.announce(owner, 3)
    instance.engine.on_timer(3)
    assert sorted(resets(instance)) == (ports['t-1'] if is_reset else [])


@pytest.mark.parametrize('may_return', [False, True])
def test_an_owner_that_comes_before_the_removal_ends_the_flows(may_return):
    """Guards against silence if the address is given out before the removal.

    The new owner answers the checks of the old target, so that it is no longer
    suspected when its entry expires.
    """
    instance, ports = open_answered()
    owner = target(
        9,
        'archive',
        address=Address('10.0.0.1', 8080),
        started_unix_ms=START_MS + 2000,
    )
    instance.directory.announce(owner, 2.5)
    instance.engine.on_timer(2.5)
    assert not resets(instance)
    instance.directory.withdraw('t-1', 3.8, may_return=may_return)
    instance.engine.on_timer(3.9)
    assert sorted(resets(instance)) == ports['t-1']


def test_a_target_that_is_announced_again_keeps_its_flows():
    """Guards against evidence that outlasts the return of an entry."""
    instance, ports = open_answered()
    suspect(instance, 't-1', 0.2)
    instance.directory.withdraw('t-1', 0.5, may_return=False)
    instance.responsiveness.expire()
    instance.directory.announce(RECORDS[0], 0.6)
    instance.engine.on_timer(3)
    assert ports['t-1']
    assert not resets(instance)


def test_flows_that_are_closing_are_not_reset():
    """Guards against a reset after the caller has got its whole answer."""
    instance, ports = open_answered()
    for port in ports['t-1']:
        closing = packet(
            port, flags=ACK | FIN, token=RECORDS[0].token, copy=port
        )
        instance.engine.on_packet(closing, 0.1)
    suspect(instance, 't-1', 0.2)
    instance.directory.withdraw('t-1', 3.8, may_return=False)
    instance.engine.on_timer(3.9)
    assert not resets(instance)


def test_an_opening_moves_again_when_its_target_has_ended():
    """Guards against openings that wait at an ended target for their caller.

    An opening is moved once by its timeout; here the second target has ended
    as well.
    """
    instance = Instance(targets=RECORDS, resets_ended=True)
    record = instance.open(1000, 3.0)
    instance.engine.on_timer(3.2)
    ((address, _),) = instance.outbox.take()
    second = next(each for each in RECORDS if each.address == address)
    suspect(instance, second.name, 1.0)
    instance.directory.withdraw(second.name, 3.25, may_return=False)
    instance.engine.on_timer(3.26)
    ((address, _),) = instance.outbox.take()
    assert address not in {record.address, second.address}


def test_one_run_resets_a_bounded_number_of_flows():
    """Guards against a timer that delays packets after many targets ended."""
    records = [target(1, slots=2000, started_unix_ms=START_MS)]
    instance = Instance(targets=records, resets_ended=True)
    for port in range(1000, 1000 + MAX_FLOWS_PER_RUN + 10):
        instance.open(port, 0)
        instance.answer(port, records[0], 0, copy=port, data=b'GET /')
    suspect(instance, 't-1', 0.2)
    instance.directory.withdraw('t-1', 3.8, may_return=False)
    instance.engine.on_timer(3.9)
    assert len(resets(instance)) == MAX_FLOWS_PER_RUN
    instance.engine.on_timer(3.91)
    assert len(resets(instance)) == 10
