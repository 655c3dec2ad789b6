"""Endpoints: the model engines and plain services that run requests."""
