"""Zone reachability rule: to which zones segments may be sent."""

__all__ = ('ZoneContact',)


class ZoneContact:
    """Tracks when instances of each zone were last heard from.

    An instance without contact to others cannot learn that operators took a
    zone out of service, so it stops sending to zones that it has not heard
    from.

    Parameters
    ----------
    own_zone : str
        Zone of this instance; always reachable.
    contact_timeout_s : float
        Time without contact after which a zone is not reachable, in seconds.
    """

    __slots__ = (
        '_behind_since_s',
        '_contact_timeout_s',
        '_last_contact_s',
        '_own_zone',
    )

    def __init__(self, own_zone: str, contact_timeout_s: float) -> None:
        self._own_zone = own_zone
        self._contact_timeout_s = contact_timeout_s
        self._last_contact_s: dict[str, float] = {}
        self._behind_since_s: float | None = None

    def note_contact(self, zone: str, now_s: float) -> None:
        """Record that an instance of a zone was heard from."""
        self._last_contact_s[zone] = max(
            now_s, self._last_contact_s.get(zone, now_s)
        )

    def note_generation(self, own: int, heard: int, now_s: float) -> None:
        """Record the generation that a peer has in force.

        While the own generation is lower, this instance may not know that a
        zone was taken out of service.
        """
        if heard <= own:
            return
        if self._behind_since_s is None:
            self._behind_since_s = now_s

    def note_generation_applied(self) -> None:
        """Record that this instance has applied a new generation."""
        self._behind_since_s = None

    def is_reachable(self, zone: str, now_s: float) -> bool:
        """Tell whether segments may be sent to targets of a zone.

        Other zones are unreachable without recent contact, and also if this
        instance has been behind a peer's generation for the contact timeout.
        """
        if zone == self._own_zone:
            return True
        behind_s = self._behind_since_s
        if behind_s is not None and now_s - behind_s > self._contact_timeout_s:
            return False
        heard_s = self._last_contact_s.get(zone)
        return (
            heard_s is not None and now_s - heard_s <= self._contact_timeout_s
        )
