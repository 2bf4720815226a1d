"""Soak of real entry processes under faults that are injected from outside."""

__all__ = ()
