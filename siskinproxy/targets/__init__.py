"""Interfaces towards backend servers."""

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
