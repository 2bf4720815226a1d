"""Entry process: routes packets by the token that both ends return.

On a platform that returns a 32-bit token with every packet, the target of an
established flow is read from the packet itself, so any instance can forward
it. The modules here hold the decisions; `siskinproxy.platform` translates the
platform's formats into `siskinproxy.entry.records`.

The package imports nothing by itself: the start-up time of an instance is time
without service.
"""

__all__ = ()
