"""Backend servers (targets): admission of flows, limits and warm-up.

The owner of a shard, up to 16 targets of a service, selects the target of
each new flow and limits the flows in progress at each target.
"""

from siskinproxy.targets.admission import ShardAdmission
from siskinproxy.targets.admission_settings import AdmissionSettings
from siskinproxy.targets.cold_start import ColdStartReason
from siskinproxy.targets.target_state import TargetReport, TargetStatus

__all__ = (
    'AdmissionSettings',
    'ColdStartReason',
    'ShardAdmission',
    'TargetReport',
    'TargetStatus',
)
