"""Packets of the fabric, the network between callers, instances and targets."""

__all__ = ()
