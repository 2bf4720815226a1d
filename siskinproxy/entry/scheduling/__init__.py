"""Decisions under scarcity, and what an instance learns about demand and speed.

Nothing here reads a clock or a socket; callers pass the current time. As in
`siskinproxy.entry`, the package imports none of its modules.
"""

__all__ = ()
