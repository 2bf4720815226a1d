"""Generated code of the administration interface (see admin.proto)."""
