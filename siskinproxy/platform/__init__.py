"""Adapters for the platform on which instances are deployed.

The modules translate the platform's store interface, store records and packet
format to the types of `siskinproxy.entry.store`, `siskinproxy.entry.records`
and `siskinproxy.entry.packets`. Field names of the platform are used in this
package only. Decisions, timers, retries and state are in `siskinproxy.entry`.
"""

__all__ = ()
