"""Interfaces towards callers."""

__all__ = ()
