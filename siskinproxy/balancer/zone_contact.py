"""Zone reachability rule: which zones segments may be sent to."""

__all__ = ('ZoneContact',)


class ZoneContact:
    """Remembers when each zone was heard from.

    An instance that hears from nobody cannot learn that operators took a zone
    out of service, so it stops sending to zones that it has not heard from.

    Parameters
    ----------
    own_zone : str
        Zone of this instance; always reachable.
    sight_s : float
        Time without contact after which a zone is not reachable, in seconds.
    """

    __slots__ = ('_behind_since_s', '_heard_s', '_own_zone', '_sight_s')

    def __init__(self, own_zone: str, sight_s: float) -> None:
        self._own_zone = own_zone
        self._sight_s = sight_s
        self._heard_s: dict[str, float] = {}
        self._behind_since_s: float | None = None

    def note_contact(self, zone: str, now_s: float) -> None:
        """Record that an instance of a zone was heard from."""
        self._heard_s[zone] = max(now_s, self._heard_s.get(zone, now_s))

    def note_generation(self, own: int, heard: int, now_s: float) -> None:
        """Record the generation of a peer.

        An instance that knows of a higher generation without having it may
        miss a zone that was taken out of service.
        """
        if heard <= own:
            return
        if self._behind_since_s is None:
            self._behind_since_s = now_s

    def note_applied(self) -> None:
        """Record that a new generation was applied."""
        self._behind_since_s = None

    def is_reachable(self, zone: str, now_s: float) -> bool:
        """Tell whether segments may be sent to targets of a zone."""
        if zone == self._own_zone:
            return True
        behind_s = self._behind_since_s
        if behind_s is not None and now_s - behind_s > self._sight_s:
            return False
        heard_s = self._heard_s.get(zone)
        return heard_s is not None and now_s - heard_s <= self._sight_s
