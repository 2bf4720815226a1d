"""Interfaces for operators: configuration, commands and administration.

Operators declare the services of a region in a configuration, usually with
`ConfigurationBuilder`, and submit it to an instance. This package checks
configurations, compares them, and applies changes and commands to them.
"""

from siskinproxy.operators.builders import ConfigurationBuilder, ServiceBuilder
from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    RetiredTarget,
    Service,
    Target,
    Zone,
)
from siskinproxy.operators.differences import (
    describe,
    find_differences,
    with_target_draining,
    with_zone_in_service,
)
from siskinproxy.operators.operational_state import (
    KeptTarget,
    KeptZone,
    describe_kept,
    keep_operational_state,
)
from siskinproxy.operators.retirement import retire
from siskinproxy.operators.validation import raise_if_invalid, validate

__all__ = (
    'Configuration',
    'ConfigurationBuilder',
    'KeptTarget',
    'KeptZone',
    'Listener',
    'RetiredTarget',
    'Service',
    'ServiceBuilder',
    'Target',
    'Zone',
    'describe',
    'describe_kept',
    'find_differences',
    'keep_operational_state',
    'raise_if_invalid',
    'retire',
    'validate',
    'with_target_draining',
    'with_zone_in_service',
)
