"""Interfaces towards other instances."""

__all__ = ()
