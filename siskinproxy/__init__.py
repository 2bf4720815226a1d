"""Layer-4 load balancer that shares flow state over the packet path."""

__all__ = ()
