"""Counters of the packet process."""

import msgspec

__all__ = ('Counters',)


class Counters(msgspec.Struct):
    """Event counts since the start of the packet process.

    Attributes
    ----------
    forwarded, answered : int
        Segments sent to targets and to callers.
    relayed : int
        Segments relayed to another instance, since this one has no entry for
        their flows.
    opened, refused, retried, queued : int
        Decisions of this owner about new flows.
    closed : int
        Flows whose end this home recorded.
    crossed : int
        Segments from targets dropped because another target serves the flow.
    copied, adopted : int
        Flow entries sent to and received from other homes.
    unknown_flow, unknown_service, malformed, syn_with_data : int
        Segments dropped for the reason in the name.
    revoked, unreachable : int
        Segments not sent because the target was removed or its zone taken out
        of service, or because the zone reachability rule forbids the zone. A
        SYN withheld from its target counts as ``unreachable`` for any of these
        reasons.
    violations : int
        Invariant violations.
    tunnel_datagrams : int
        Datagrams sent to other instances.
    refused_by_reason : dict of str to int
        The refused flows by `RefusedReason`.
    violations_by_name : dict of str to int
        The violations by invariant.
    """

    forwarded: int = 0
    answered: int = 0
    relayed: int = 0
    opened: int = 0
    refused: int = 0
    retried: int = 0
    queued: int = 0
    closed: int = 0
    crossed: int = 0
    copied: int = 0
    adopted: int = 0
    unknown_flow: int = 0
    unknown_service: int = 0
    malformed: int = 0
    syn_with_data: int = 0
    revoked: int = 0
    unreachable: int = 0
    violations: int = 0
    tunnel_datagrams: int = 0
    refused_by_reason: dict[str, int] = msgspec.field(default_factory=dict)
    violations_by_name: dict[str, int] = msgspec.field(default_factory=dict)

    def count_refusal(self, reason: str) -> None:
        """Count a refused flow."""
        self.refused += 1
        by_reason = self.refused_by_reason
        by_reason[reason] = by_reason.get(reason, 0) + 1

    def count_violation(self, name: str) -> None:
        """Count a violation of an invariant."""
        self.violations += 1
        by_name = self.violations_by_name
        by_name[name] = by_name.get(name, 0) + 1

    def as_dict(self) -> dict[str, int]:
        """Return all counters by name.

        Refusals are named ``refused_<reason>`` and violations
        ``violations_<invariant>``.
        """
        counters = msgspec.structs.asdict(self)
        for reason, count in counters.pop('refused_by_reason').items():
            counters[f'refused_{reason}'] = count
        for name, number in counters.pop('violations_by_name').items():
            counters[f'violations_{name}'] = number
        return counters
