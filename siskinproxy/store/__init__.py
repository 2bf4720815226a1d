"""Interface towards the key-value store of the platform."""

__all__ = ()
