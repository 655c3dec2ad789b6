"""Seeded soak test of router processes with external fault injection."""
