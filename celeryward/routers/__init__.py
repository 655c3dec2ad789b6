"""Peer routers, which relay changes of the store to each other."""
