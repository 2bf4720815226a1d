"""Interfaces towards operators: configuration, submission, administration."""

from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    RetiredTarget,
    Service,
    Target,
    Zone,
)

__all__ = (
    'Configuration',
    'Listener',
    'RetiredTarget',
    'Service',
    'Target',
    'Zone',
)
