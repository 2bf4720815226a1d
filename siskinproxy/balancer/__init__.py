"""Processes of an instance and the state that they exchange."""

from siskinproxy.balancer.snapshot import Member, RoutingSnapshot

__all__ = ('Member', 'RoutingSnapshot')
