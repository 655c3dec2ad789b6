"""A seeded soak of router processes under faults injected from outside."""
