"""Discrete-event emulator that compares target selection policies.

It runs the load balancer's engine in virtual time, with models of the network
fabric, the backend servers and the callers. The processes of the product don't
import it.
"""

__all__ = ()
