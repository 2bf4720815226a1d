"""Measurements of the decisions and of the packet path."""

__all__ = ()
