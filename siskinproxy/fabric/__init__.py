"""Interface towards the fabric."""

__all__ = ()
