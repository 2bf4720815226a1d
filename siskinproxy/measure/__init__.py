"""Simulations and benchmarks of target selection and the packet path."""

__all__ = ()
