"""Emulator of the users' platform that compares placing policies on days.

Nothing here is loaded by the processes of the product.
"""

__all__ = ()
