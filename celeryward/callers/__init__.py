"""Callers: the HTTP API, admission, limits and sessions."""
