"""The two processes of an instance, control and packet process.

The control process sends configuration and members to the packet process as
`RoutingSnapshot`; the packet process forwards the packets.
"""

from siskinproxy.balancer.settings import (
    InstanceSettings,
    Limits,
    read_settings,
    run_or_exit,
)
from siskinproxy.balancer.snapshot import Member, RoutingSnapshot
from siskinproxy.logs import EventLog, set_up_logs

__all__ = (
    'EventLog',
    'InstanceSettings',
    'Limits',
    'Member',
    'RoutingSnapshot',
    'read_settings',
    'run_or_exit',
    'set_up_logs',
)
