"""The other routers, from which a router learns what the store says."""
