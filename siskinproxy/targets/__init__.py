"""Backend servers (targets): admission of flows, limits and warm-up.

The owner of a shard, up to 16 targets of a service, selects the target of
each new flow and limits the flows in progress at each target.
"""

from siskinproxy.targets.admission import ShardAdmission
from siskinproxy.targets.evidence import ColdStartReason
from siskinproxy.targets.limits import AdmissionLimits
from siskinproxy.targets.target_state import TargetReport, TargetStatus

__all__ = (
    'AdmissionLimits',
    'ColdStartReason',
    'ShardAdmission',
    'TargetReport',
    'TargetStatus',
)
