"""Interfaces towards operators: configuration, submission, administration."""

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
    retire,
    with_target_draining,
    with_zone_in_service,
)
from siskinproxy.operators.validation import raise_if_invalid, validate

__all__ = (
    'Configuration',
    'ConfigurationBuilder',
    'Listener',
    'RetiredTarget',
    'Service',
    'ServiceBuilder',
    'Target',
    'Zone',
    'describe',
    'find_differences',
    'raise_if_invalid',
    'retire',
    'validate',
    'with_target_draining',
    'with_zone_in_service',
)
