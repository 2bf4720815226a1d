"""Small stand-ins for the peers of the system, for tests and the demo."""

__all__ = ()
