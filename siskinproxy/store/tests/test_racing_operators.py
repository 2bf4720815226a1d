"""Concurrent submissions with random interleavings, faults and retries."""

import asyncio
import itertools
import random

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from siskinproxy.errors import InvariantViolation
from siskinproxy.standins.store import (
    FakeKeyValueClient,
    MemoryStore,
    StoreLimits,
)
from siskinproxy.standins.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from siskinproxy.store import (
    Accepted,
    Conflict,
    RetryPolicy,
    SubmitOptions,
    check_monotonic,
    decode_head,
    empty_head,
    head_key,
    submit,
)
from siskinproxy.store import submission as submissions
from siskinproxy.store.tests.configurations import REGION, make_configuration

FAULTS = ('unavailable', 'rate_limit', 'lost_request', 'lost_answer', 'late')
FAULT_PLANS = st.dictionaries(
    st.integers(0, 20), st.sampled_from(FAULTS), max_size=6
)


class RecordingStore(MemoryStore):
    """Store that records every head that was written."""

    def __init__(self):
        super().__init__(StoreLimits(writes_per_s=10**6, reads_per_s=10**6))
        self.heads = [empty_head(REGION)]

    def compare_and_swap(self, key, value, expected_version, lease_id, now_s):
        written = super().compare_and_swap(
            key, value, expected_version, lease_id, now_s
        )
        if key == head_key(REGION):
            self.heads.append(decode_head(REGION, written))
        return written

    def applied(self):
        """Check config_monotonic; return the generations by submission id."""
        for earlier, later in itertools.pairwise(self.heads):
            check_monotonic(earlier, later)
        ids = [head.audit.submission_id for head in self.heads[1:]]
        if len(set(ids)) != len(ids):
            raise InvariantViolation('config_monotonic', 'rule=applied_twice')
        return {
            head.audit.submission_id: head.generation for head in self.heads[1:]
        }


def check_results(store, results):
    """Check the reported results against what the store accepted."""
    applied = store.applied()
    for submission_id, outcome in results:
        if isinstance(outcome, Accepted):
            if applied.get(submission_id) != outcome.generation:
                raise InvariantViolation('config_monotonic', 'rule=lost')
        if isinstance(outcome, Conflict) and submission_id in applied:
            raise InvariantViolation('config_monotonic', 'rule=false_conflict')


def make_client(store, plan, seed, late_s=5):
    """Return a client with planned faults and random network delays.

    A call with the fault ``late`` is executed after ``late_s`` seconds.
    """
    rng = random.Random(seed)

    async def sleep_with_jitter(delay_s):
        await asyncio.sleep(delay_s + rng.expovariate(10))

    return FakeKeyValueClient(
        store, sleep=sleep_with_jitter, fault_by_call=plan, late_s=late_s
    )


def run_submission(client, base, submission_id, seed=0, limit_s=15):
    """Submit a configuration that differs for each submission id."""
    number = sum(submission_id.encode())
    options = SubmitOptions(
        retry=RetryPolicy(limit_s=limit_s), rng=random.Random(seed)
    )
    cfg = make_configuration(slots=number)
    return submit(client, REGION, cfg, base, submission_id, 'op', 1000, options)


@settings(deadline=None, max_examples=150)
@given(
    st.integers(2, 5),
    st.lists(FAULT_PLANS, min_size=5, max_size=5),
    st.integers(0, 2**32),
)
def test_race_has_one_winner(operators, plans, seed):
    """Guards against two accepted changes on the same base generation.

    Several operators submit at once while calls fail and responses are lost.
    """

    async def scenario():
        store = RecordingStore()
        names = [f'op{number}' for number in range(operators)]
        outcomes = await asyncio.gather(
            *(
                run_submission(
                    make_client(store, plans[number], seed + number),
                    0,
                    names[number],
                    seed + number,
                    limit_s=120,
                )
                for number in range(operators)
            )
        )
        await asyncio.sleep(120)
        check_results(store, list(zip(names, outcomes, strict=True)))
        kinds = [type(outcome) for outcome in outcomes]
        assert kinds.count(Accepted) == 1
        assert kinds.count(Conflict) == operators - 1

    run_in_virtual_time(scenario())


class SubmissionMachine(RuleBasedStateMachine):
    """Operators submit and repeat changes concurrently while the store fails."""

    def __init__(self):
        super().__init__()
        self.store = RecordingStore()
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.known = {}
        self.tasks = []

    def run(self, coroutine):
        return self.runner.run(coroutine)

    @rule(
        lag=st.integers(0, 2),
        plan=FAULT_PLANS,
        seed=st.integers(0, 2**16),
        late_s=st.sampled_from([0.01, 1, 30, 200]),
    )
    def submit_change(self, lag, plan, seed, late_s):
        """Submit a new change, possibly on an outdated base generation."""
        submission_id = f'id{len(self.known)}'
        base = max(self.store.heads[-1].generation - lag, 0)
        self.known[submission_id] = base
        self.start(submission_id, plan, seed, late_s)

    @precondition(lambda self: self.known)
    @rule(data=st.data(), plan=FAULT_PLANS, seed=st.integers(0, 2**16))
    def repeat_change(self, data, plan, seed):
        """Repeat a submission, possibly while it is still running."""
        chosen = data.draw(st.sampled_from(sorted(self.known)))
        self.start(chosen, plan, seed, 1)

    def start(self, submission_id, plan, seed, late_s):
        async def begin():
            client = make_client(self.store, plan, seed, late_s)
            base = self.known[submission_id]
            return asyncio.create_task(
                run_submission(client, base, submission_id, seed)
            )

        self.tasks.append((submission_id, self.run(begin())))

    @rule(duration_s=st.sampled_from([0.05, 0.3, 2, 40]))
    def wait(self, duration_s):
        """Let virtual time pass, so that running submissions proceed."""
        self.run(asyncio.sleep(duration_s))

    @rule(outage=st.booleans(), latency_s=st.sampled_from([0, 0, 1, 20]))
    def switch_faults(self, outage, latency_s):
        """Start or end an outage and set the latency of the store."""
        self.store.faults.outage = outage
        self.store.faults.latency_s = latency_s

    @invariant()
    def results_are_true(self):
        """The reported results match what the store accepted."""
        done = [
            (submission_id, task.result())
            for submission_id, task in self.tasks
            if task.done()
        ]
        check_results(self.store, done)

    def teardown(self):
        self.store.faults.outage = False
        self.store.faults.latency_s = 0
        self.run(asyncio.sleep(1000))
        assert all(task.done() for _submission_id, task in self.tasks)
        self.results_are_true()
        self.runner.close()


def run_machine(examples, **changes):
    run_state_machine_as_test(
        SubmissionMachine,
        settings=settings(
            deadline=None,
            max_examples=examples,
            stateful_step_count=25,
            **changes,
        ),
    )


def test_config_monotonic_under_faults():
    """Guards against changes that are lost, reverted or applied twice.

    Submissions overlap and are repeated while the store fails and recovers.
    """
    run_machine(150)


async def _swap_blindly(self, encoded, version, retry):
    """Replace the head whatever its version, as a blind write does."""
    key = head_key(REGION)
    found = await self._client.get(key)
    await self._client.compare_and_swap(key, encoded, found.version)
    return True


async def _swap_and_assume(self, encoded, version, retry):
    """Treat an unknown outcome as a success."""
    try:
        return await _swap_head(self, encoded, version, retry)
    finally:
        if self.may_have_committed:
            return True  # noqa: B012


async def _result_without_ids(self, head):
    """Decide by the generation alone, ignoring the submission ids."""
    if head.generation == self._req.base_generation:
        return None
    return Conflict(self._req.base_generation, head.generation)


async def _rebase_submission(self, head):
    """Submit the change again as a new one, on the current generation."""
    object.__setattr__(self._req, 'base_generation', head.generation)


_swap_head = submissions._Attempt._swap_head


@pytest.mark.parametrize(
    ('method', 'broken'),
    [
        ('_swap_head', _swap_blindly),
        ('_swap_head', _swap_and_assume),
        ('_result_from_head', _result_without_ids),
        ('_result_from_head', _rebase_submission),
    ],
    ids=['blind-write', 'assumed-success', 'no-ids', 'resubmitted'],
)
def test_checks_find_a_broken_protocol(monkeypatch, method, broken):
    """Guards against checks of config_monotonic that cannot fail.

    Each case breaks the commit protocol in another way.
    """
    monkeypatch.setattr(submissions._Attempt, method, broken)
    with pytest.raises(InvariantViolation):
        # Any failing example will do, so shrinking is skipped.
        run_machine(
            1000,
            phases=[Phase.generate],
            database=None,
            report_multiple_bugs=False,
        )
