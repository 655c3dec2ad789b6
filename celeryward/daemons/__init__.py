"""Daemons of our own: gossip, membership and copies of bills."""
