"""Adapter to the users' platform: translates its formats and calls.

The modules decode the platform's names once into the types of
`siskinproxy.entry.records` and `siskinproxy.entry.store`. Decisions, timers,
retries and state belong to the product.
"""

__all__ = ()
