"""Entry process: forwards packets by the token that they carry.

Both ends of a flow return a 32-bit token with every packet. The token names
the target of an established flow, so any instance can forward its packets
without per-flow state. The modules here decide where packets go and keep an
instance up to date; `siskinproxy.platform` converts the platform's wire and
storage formats into `siskinproxy.entry.records`.

The package imports none of its modules: each import would lengthen the start
of an instance, during which it serves no traffic.
"""

__all__ = ()
