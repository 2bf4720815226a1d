"""Generated code of the stand-ins' fault services."""
