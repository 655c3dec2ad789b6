"""Benchmarks; each is run as ``python -m benchmarks.<name>``."""
