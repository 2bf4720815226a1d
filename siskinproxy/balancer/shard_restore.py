"""Counting of the open flows of shards that an instance takes over."""

from collections import Counter
from collections.abc import Mapping
from typing import Final

from siskinproxy.balancer.engine_state import EngineState
from siskinproxy.callers.flow_state import has_released_slot
from siskinproxy.callers.flow_table import Binding
from siskinproxy.instances.placement import ShardKey
from siskinproxy.targets.admission import ShardAdmission

__all__ = ('restore_shards',)

_STREAM: Final = 'stream'


def restore_shards(
    state: EngineState,
    admissions: Mapping[ShardKey, ShardAdmission],
    now_s: float,
) -> None:
    """Count the open flows of new shards in one pass over the flow tables.

    One pass for each shard would stop the packet loop for seconds: a new owner
    of 20 shards would visit 300,000 flows 20 times. Flows with the same route
    and state share a binding, so flows in mode ``stream`` of a service with
    one shard are counted by binding, without their keys.

    Parameters
    ----------
    state : EngineState
        Tables and views.
    admissions : mapping of ShardKey to ShardAdmission
        Admissions of the new shards, which have counted no flow yet.
    now_s : float
        Time in seconds.
    """
    for table in (state.requests, state.streams):
        for part in (table.young, table.old):
            by_key = _restore_by_binding(state, part, admissions, now_s)
            if by_key:
                _restore_by_key(state, part, by_key, admissions, now_s)


def _restore_by_binding(
    state: EngineState,
    part: dict[bytes, Binding],
    admissions: Mapping[ShardKey, ShardAdmission],
    now_s: float,
) -> set[Binding]:
    """Count flows by binding; return the bindings to be counted by key."""
    services = {shard.service for shard in admissions}
    shard_counts = state.views.current.shard_counts
    by_key = set()
    for binding, count in Counter(part.values()).items():
        route = binding.route
        service = route.listener.service
        if service not in services or not _is_open(binding):
            continue
        is_stream = route.listener.listener.mode == _STREAM
        if not is_stream or shard_counts.get(service, 1) > 1:
            by_key.add(binding)
            continue
        admission = admissions[ShardKey(service, 0)]
        admission.restore_streams(route.target.name, count, now_s)
    return by_key


def _restore_by_key(
    state: EngineState,
    part: dict[bytes, Binding],
    bindings: set[Binding],
    admissions: Mapping[ShardKey, ShardAdmission],
    now_s: float,
) -> None:
    for key, binding in part.items():
        if binding not in bindings:
            continue
        if state.departed_flows.is_outdated(key, binding):
            continue
        route = binding.route
        shard = state.shard(route.listener.service, key)
        admission = admissions.get(shard)
        if admission is not None:
            listener = route.listener.listener
            admission.restore(key, listener, route.target.name, now_s)


def _is_open(binding: Binding) -> bool:
    return binding.route.is_allowed and not has_released_slot(binding.state)
