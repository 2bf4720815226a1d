"""Soak test of real entry processes with faults injected from outside."""

__all__ = ()
