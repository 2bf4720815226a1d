"""Generated code of the key-value service (see store.proto)."""
