"""The object API of the platform: configuration, leases and bills."""
