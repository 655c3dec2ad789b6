"""The object API of the platform: configuration, leases, claims and bills."""
