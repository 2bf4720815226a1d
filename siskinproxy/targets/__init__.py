"""Interfaces towards backend servers."""

__all__ = ()
