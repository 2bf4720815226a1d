"""Detection of homes that do not respond, and of pauses of this process."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from siskinproxy.balancer.engine_state import SUSPECT_S, EngineState
from siskinproxy.balancer.routes import Route
from siskinproxy.balancer.snapshot import Member
from siskinproxy.instances.tunnel import Kind

__all__ = ('Opening', 'SilenceDetector')

#: Interval of acknowledgments to one sender; a quarter of `SUSPECT_S`, so that
#: one lost datagram causes no suspicion.
ACKNOWLEDGE_PERIOD_S: Final = 0.05

#: After a pause of the process, other homes may have opened its flows, so it
#: asks them for this time.
CAUTIOUS_S: Final = 2.0


@dataclass(slots=True)
class Opening:
    """SYN of a flow that no target has accepted yet.

    Parameters
    ----------
    segment : bytes
        The SYN.
    ingress_zone : str
        Zone of the instance that got it from the fabric.
    since_s : float
        Time at which it was handled or sent, in seconds.
    route : Route or None
        Set if the SYN was sent to a home as a replication.
    """

    segment: bytes
    ingress_zone: str
    since_s: float
    route: Route | None = None


class SilenceDetector:
    """Expects signs of life of homes that got opening segments.

    Parameters
    ----------
    state : EngineState
        Peers and suspects.
    """

    __slots__ = (
        '_acknowledged_s',
        '_cautious_until_s',
        '_owed',
        '_polled_s',
        '_state',
        '_unacknowledged',
    )

    def __init__(self, state: EngineState) -> None:
        self._state = state
        self._unacknowledged: dict[str, deque[Opening]] = {}
        self._owed: set[int] = set()
        self._acknowledged_s = float(0)
        self._polled_s: float | None = None
        self._cautious_until_s = float(0)

    def expect(self, member: Member, opening: Opening) -> None:
        """Expect a sign of life of a member that gets an opening segment."""
        sent = self._unacknowledged.setdefault(member.name, deque())
        sent.append(opening)

    def forget_last(self, member: Member) -> None:
        """Expect no sign of life for the last segment to a member."""
        sent = self._unacknowledged.get(member.name)
        if sent:
            sent.pop()

    def note_heard(self, member: Member) -> None:
        """Take all segments that were sent to a member as received."""
        self._unacknowledged.pop(member.name, None)

    def owe(self, sender_id: int) -> None:
        """Plan a sign of life for the sender of an opening segment."""
        self._owed.add(sender_id)

    def acknowledge(self, now_s: float) -> None:
        """Show the senders of opening segments that this home is alive.

        One datagram in each period answers all segments of a sender.
        """
        if now_s - self._acknowledged_s < ACKNOWLEDGE_PERIOD_S:
            return
        self._acknowledged_s = now_s
        for sender_id in self._owed:
            sender = self._state.peers.get(sender_id)
            if sender is not None:
                self._state.send(sender, Kind.HELLO)
        self._owed.clear()

    def take_silent(self, now_s: float) -> list[Opening]:
        """Suspect silent members and return what was sent to them."""
        unanswered: list[Opening] = []
        for name, sent in list(self._unacknowledged.items()):
            if sent and now_s - sent[0].since_s >= SUSPECT_S:
                self._state.suspects.add(name)
                self._unacknowledged.pop(name)
                unanswered.extend(sent)
        return unanswered

    def note_timer(self, now_s: float) -> None:
        """Record that the timer ran."""
        self.note_pause(now_s)
        self._polled_s = now_s

    def note_pause(self, now_s: float) -> None:
        """Detect that the process did not run, as after SIGSTOP."""
        polled_s = self._polled_s
        if polled_s is not None and now_s - polled_s > SUSPECT_S:
            self._cautious_until_s = now_s + CAUTIOUS_S
            self._polled_s = now_s
            self._unacknowledged.clear()

    def is_cautious(self, now_s: float) -> bool:
        """Tell whether other homes may have opened flows in a pause."""
        return now_s < self._cautious_until_s
