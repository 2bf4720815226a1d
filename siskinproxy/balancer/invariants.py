"""Checks of the invariants that the packet process can observe."""

from collections.abc import Callable
from typing import Final

from siskinproxy.balancer.counters import Counters
from siskinproxy.callers.flow_table import Binding, FlowState, RotatingTable
from siskinproxy.errors import InvariantViolation
from siskinproxy.fabric.segments import Endpoint, pack_endpoint, unpack_endpoint
from siskinproxy.operators.configuration import Configuration

__all__ = ('InvariantMonitor',)

#: Largest number of recorded flows whose SYN a target refused and about which
#: the owner has not decided again. The lifetime of a SYN bounds them in time;
#: this limit bounds the memory as well.
_MAX_REFUSED: Final = 10_000


class InvariantMonitor:
    """Checks each segment sent and each decision against the invariants.

    It keeps its own tables, derived from the configuration and not from the
    routes, so that it also detects wrong routes.

    Parameters
    ----------
    counters : Counters
        Where violations are counted by name.
    tables : tuple of RotatingTable
        Home entries of flows in mode ``stream`` and in mode ``request``.

    Attributes
    ----------
    on_violation : callable or None
        Called with each `InvariantViolation`.
    """

    __slots__ = (
        '_counters',
        '_draining',
        '_generation',
        '_permitted',
        '_refused',
        '_requests',
        '_service_of_listener',
        '_service_of_target',
        '_streams',
        '_zone_of_target',
        '_zones_out',
        'on_violation',
    )

    def __init__(
        self,
        counters: Counters,
        tables: tuple[RotatingTable, RotatingTable],
    ) -> None:
        self._streams = tables[0]
        self._requests = tables[1]
        self.on_violation: Callable[[InvariantViolation], None] | None = None
        self._counters = counters
        self._generation = 0
        self._service_of_listener: dict[bytes, str] = {}
        self._service_of_target: dict[tuple[str, int], str] = {}
        self._zone_of_target: dict[str, str] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._draining: frozenset[str] = frozenset()
        # Listener of the last permitted segment by target, so that the check
        # of a segment usually takes one look-up.
        self._permitted: dict[tuple[str, int], bytes] = {}
        self._refused: dict[bytes, None] = {}

    def report(self, violation: InvariantViolation) -> None:
        """Count a violation and call `on_violation`.

        Parameters
        ----------
        violation : InvariantViolation
            The violation.
        """
        self._counters.count_violation(violation.name)
        if self.on_violation is not None:
            self.on_violation(violation)

    def apply(self, generation: int, cfg: Configuration) -> None:
        """Check the generation (`config_monotonic`) and use its configuration.

        A generation lower than the one before is a violation.

        Parameters
        ----------
        generation : int
            Generation that is now in force.
        cfg : Configuration
            Its configuration.
        """
        if generation < self._generation:
            self._report_violation(
                'config_monotonic',
                f'generation={generation} earlier={self._generation}',
            )
        self._generation = generation
        self._permitted.clear()
        self._zones_out = frozenset(
            zone.name for zone in cfg.zones if not zone.in_service
        )
        self._service_of_target = {}
        self._zone_of_target = {}
        self._note_services(cfg)
        self._note_retired(cfg)

    def check_target(self, address: tuple[str, int], segment: bytes) -> None:
        """Check a segment for a target (`service_isolation`, `zone_out`).

        A segment must not go to a target of another service than that of its
        listener, nor to a target whose zone is out of service.

        Parameters
        ----------
        address : (str, int)
            Address and port that the segment is sent to.
        segment : bytes
            Segment whose destination is still the listener.
        """
        listener = segment[16:20] + segment[22:24]
        if self._permitted.get(address) != listener:
            self._check_pair(address, listener)

    def check_answer(self, key: bytes, segment: bytes) -> None:
        """Check a segment from a target for a caller (`answer_integrity`).

        It must come from the target in the entry of its flow. A flow without
        an entry at this home is not checked.

        Parameters
        ----------
        key : bytes
            Flow key.
        segment : bytes
            Segment whose source is still the target.
        """
        binding = (
            self._streams.young.get(key)
            or self._requests.young.get(key)
            or self._streams.old.get(key)
            or self._requests.old.get(key)
        )
        if binding is None:
            return
        if binding.route.endpoint != segment[12:16] + segment[20:22]:
            self._report_violation(
                'answer_integrity',
                f'flow={key.hex()} source={segment[12:16].hex()}',
            )

    def note_target_refused(self, key: bytes) -> None:
        """Record that the target of an opening flow refused its SYN."""
        self._refused[key] = None
        if len(self._refused) > _MAX_REFUSED:
            self._refused.pop(next(iter(self._refused)))

    def check_admission(
        self,
        key: bytes,
        address: tuple[str, int],
        known: Binding | None,
        *,
        is_new: bool,
    ) -> None:
        """Check the owner's selection (`drain`, `at_most_once`).

        A new flow must not go to a draining or removed target. A flow that is
        live at one target must not be opened at another one, unless the first
        refused its SYN.

        Parameters
        ----------
        key : bytes
            Flow key.
        address : (str, int)
            Address and port of the selected target.
        known : Binding or None
            Entry of the flow before the selection, if there is one.
        is_new : bool
            False if an earlier selection is repeated.
        """
        if is_new and address[0] in self._draining:
            self._report_violation(
                'drain', f'flow={key.hex()} target={address[0]}'
            )
        was_refused = self._refused.pop(key, False) is None
        if was_refused or not self._is_live(known):
            return
        if known is not None and known.route.address != address:
            self._report_violation(
                'at_most_once',
                f'flow={key.hex()} target={address[0]}'
                f' earlier={known.route.address[0]}',
            )

    def check_limit(self, target: str, in_use: int, limit: int) -> None:
        """Check the load of a target after an admission (`warmup_limit`).

        More flows than the limit, which is lower during a warm-up, are a
        violation.

        Parameters
        ----------
        target : str
            Name of the target.
        in_use : int
            Flows in progress, including the new one.
        limit : int
            Flows that may be in progress.
        """
        if in_use > limit:
            self._report_violation(
                'warmup_limit',
                f'target={target} in_use={in_use} limit={limit}',
            )

    def check_refusal(self, key: bytes, known: Binding | None) -> None:
        """Check an RST that answers a SYN (`truthful_refusal`).

        A flow that is live at a target must not be refused, unless it is still
        opening and the target refused its SYN.

        Parameters
        ----------
        key : bytes
            Flow key.
        known : Binding or None
            Entry of the flow at this instance.
        """
        was_refused = self._refused.pop(key, False) is None
        if known is None or not self._is_live(known):
            return
        if known.state is not FlowState.OPENING or not was_refused:
            self._report_violation(
                'truthful_refusal',
                f'flow={key.hex()} target={known.route.address[0]}'
                f' state={known.state.name}',
            )

    def _report_violation(self, name: str, detail: str) -> None:
        self.report(InvariantViolation(name, detail))

    def _check_pair(self, address: tuple[str, int], listener: bytes) -> None:
        service = self._service_of_listener.get(listener)
        own_service = self._service_of_target.get(address)
        detail = (
            f'target={address[0]}:{address[1]}'
            f' listener={unpack_endpoint(listener)}'
        )
        if service is None or service != own_service:
            self._report_violation('service_isolation', detail)
        elif self._zone_of_target.get(address[0]) in self._zones_out:
            self._report_violation('zone_out', detail)
        else:
            self._permitted[address] = listener

    def _is_live(self, binding: Binding | None) -> bool:
        """Tell whether a flow is not closed and its target still allowed.

        The target is looked up in the tables of this monitor.
        """
        if binding is None or binding.state is FlowState.CLOSED:
            return False
        address = binding.route.address
        if address not in self._service_of_target:
            return False
        # Entries from before a zone was taken out of service stay invalid
        # after its return.
        is_in_service = self._zone_of_target[address[0]] not in self._zones_out
        return is_in_service and binding.route.is_allowed

    def _note_services(self, cfg: Configuration) -> None:
        draining = set()
        for service in cfg.services:
            for listener in service.listeners:
                endpoint = Endpoint(listener.address, listener.port)
                # Removed listeners stay in the table, since their established
                # flows continue.
                self._service_of_listener[pack_endpoint(endpoint)] = (
                    service.name
                )
            for target in service.targets:
                self._zone_of_target[target.address] = target.zone
                if target.draining:
                    draining.add(target.address)
                for listener in service.listeners:
                    address = (target.address, listener.target_port)
                    self._service_of_target[address] = service.name
        self._draining = frozenset(draining)

    def _note_retired(self, cfg: Configuration) -> None:
        """Add removed targets and ports, whose established flows continue.

        Targets that no service lists any more count as draining.
        """
        draining = set(self._draining)
        for retired in cfg.retired:
            if retired.released_unix_s:
                continue
            target = retired.target
            for port in retired.ports:
                address = (target.address, port)
                if address not in self._service_of_target:
                    self._service_of_target[address] = retired.service
                    self._zone_of_target.setdefault(target.address, target.zone)
        in_use = {
            target.address
            for service in cfg.services
            for target in service.targets
        }
        draining.update(
            item.target.address
            for item in cfg.retired
            if item.target.address not in in_use
        )
        self._draining = frozenset(draining)
