from siskinproxy.callers.admission_queue import AdmissionQueue, QueuedFlow
from siskinproxy.operators.configuration import Listener


def build_flow(number, priority):
    listener = Listener('10.0.0.1', 80, 8080, priority=priority)
    return QueuedFlow(bytes([number]), listener, 'a', 0.0, 1.0)


def test_orders_by_class_then_by_arrival():
    """Guards against priority inversion.

    If the queue kept only the order of arrival, a high-priority flow would
    wait behind flows of lower priority.
    """
    queue = AdmissionQueue()
    for number, priority in enumerate([2, 1, 0, 1]):
        queue.push(build_flow(number, priority))
    assert [flow.key[0] for flow in queue] == [2, 1, 3, 0]
    assert queue.count_ahead(1) == 3
    assert queue.count_higher_priority(1) == 1
    assert queue.remove(bytes([1]))
    assert not queue.remove(bytes([1]))
    assert len(queue) == 3


def test_rate_of_more_important_arrivals_covers_the_last_second():
    """Guards against a wait estimate that is too short.

    Higher-priority flows that arrive later overtake a queued flow, and an
    estimate that leaves out their rate admits flows that miss their deadline.
    """
    queue = AdmissionQueue()
    for number in range(30):
        queue.note_arrival(number % 3, number / 10)
    assert queue.higher_priority_arrivals_per_s(1, 3.0) == 3
    assert queue.higher_priority_arrivals_per_s(2, 3.0) == 6
    assert queue.higher_priority_arrivals_per_s(2, 9.0) == 0
