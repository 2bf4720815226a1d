"""Layer-4 load balancer whose instances share flow state in-band."""

__all__ = ()
