"""Messages and gRPC stubs generated from ``store.proto``."""
