"""Fakes of external systems with injectable faults, for demo and tests."""
