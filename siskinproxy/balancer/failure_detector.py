"""Detection of homes that have failed, and of pauses of this process.

The receiver of a SYN acknowledges it with a `DatagramKind.HELLO` datagram. Any
other datagram from the receiver counts as an acknowledgment too. A home that
stays silent for `SUSPECT_TIMEOUT_S` is suspected to have failed.
"""

from collections import deque
from dataclasses import dataclass
from typing import Final

from siskinproxy.balancer.engine_state import SUSPECT_TIMEOUT_S, EngineState
from siskinproxy.balancer.routes import Route
from siskinproxy.balancer.snapshot import Member
from siskinproxy.instances.tunnel import DatagramKind

__all__ = ('FailureDetector', 'Opening')

#: Interval of acknowledgments to one sender; a quarter of `SUSPECT_TIMEOUT_S`,
#: so that a single lost datagram causes no suspicion.
ACKNOWLEDGE_PERIOD_S: Final = 0.05

#: Time after a pause of the process in which it asks other homes before it
#: opens a flow, since they may have opened flows in its place.
PAUSE_RECOVERY_S: Final = 2.0


@dataclass(slots=True)
class Opening:
    """SYN of a flow that no target has accepted yet.

    Parameters
    ----------
    segment : bytes
        The SYN.
    ingress_zone : str
        Zone of the instance that got the SYN from the fabric.
    since_s : float
        Time at which the SYN was handled or sent, in seconds.
    route : Route or None
        Route to the selected target if the SYN was sent to a home as
        `DatagramKind.REPLICATE`.
    """

    segment: bytes
    ingress_zone: str
    since_s: float
    route: Route | None = None


class FailureDetector:
    """Suspects homes that do not acknowledge SYNs in time.

    Parameters
    ----------
    state : EngineState
        Peers and suspects; suspected homes are added to the latter.
    """

    __slots__ = (
        '_acknowledgments_sent_s',
        '_recovering_until_s',
        '_senders_to_acknowledge',
        '_state',
        '_timer_ran_s',
        '_unacknowledged',
    )

    def __init__(self, state: EngineState) -> None:
        self._state = state
        self._unacknowledged: dict[str, deque[Opening]] = {}
        self._senders_to_acknowledge: set[int] = set()
        self._acknowledgments_sent_s = float(0)
        self._timer_ran_s: float | None = None
        self._recovering_until_s = float(0)

    def expect_acknowledgment(self, member: Member, opening: Opening) -> None:
        """Expect an acknowledgment from a member that gets a SYN."""
        sent = self._unacknowledged.setdefault(member.name, deque())
        sent.append(opening)

    def cancel_last_expectation(self, member: Member) -> None:
        """Expect no acknowledgment of the last SYN to a member."""
        sent = self._unacknowledged.get(member.name)
        if sent:
            sent.pop()

    def note_heard(self, member: Member) -> None:
        """Take all SYNs that were sent to a member as acknowledged."""
        self._unacknowledged.pop(member.name, None)

    def schedule_acknowledgment(self, sender_id: int) -> None:
        """Schedule an acknowledgment to the sender of a SYN.

        Parameters
        ----------
        sender_id : int
            `member_id` of the sender.
        """
        self._senders_to_acknowledge.add(sender_id)

    def send_acknowledgments(self, now_s: float) -> None:
        """Send the acknowledgments that are due.

        One datagram per `ACKNOWLEDGE_PERIOD_S` acknowledges all SYNs of a
        sender.
        """
        if now_s - self._acknowledgments_sent_s < ACKNOWLEDGE_PERIOD_S:
            return
        self._acknowledgments_sent_s = now_s
        for sender_id in self._senders_to_acknowledge:
            sender = self._state.peers.get(sender_id)
            if sender is not None:
                self._state.send(sender, DatagramKind.HELLO)
        self._senders_to_acknowledge.clear()

    def take_unacknowledged(self, now_s: float) -> list[Opening]:
        """Suspect silent members and return the SYNs sent to them."""
        unanswered: list[Opening] = []
        for name, sent in list(self._unacknowledged.items()):
            if sent and now_s - sent[0].since_s >= SUSPECT_TIMEOUT_S:
                self._state.suspects.add(name)
                self._unacknowledged.pop(name)
                unanswered.extend(sent)
        return unanswered

    def note_timer_run(self, now_s: float) -> None:
        """Record that the timer of the process ran."""
        self.detect_pause(now_s)
        self._timer_ran_s = now_s

    def detect_pause(self, now_s: float) -> None:
        """Detect that the process did not run, such as after SIGSTOP.

        Acknowledgments may have arrived meanwhile, so none is expected any
        more.
        """
        ran_s = self._timer_ran_s
        if ran_s is not None and now_s - ran_s > SUSPECT_TIMEOUT_S:
            self._recovering_until_s = now_s + PAUSE_RECOVERY_S
            self._timer_ran_s = now_s
            self._unacknowledged.clear()

    def is_recovering_from_pause(self, now_s: float) -> bool:
        """Tell whether other homes may have opened flows during a pause."""
        return now_s < self._recovering_until_s
