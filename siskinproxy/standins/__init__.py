"""Simulated peers of the load balancer, for tests and the demo.

Each stand-in replaces something that a deployment needs: the network fabric
that spreads packets over the instances, the key-value store, the backend
servers (targets) and their clients (callers).
"""

__all__ = ()
