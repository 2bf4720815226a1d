"""Code that ``make proto`` generates from ``store_faults.proto``."""
