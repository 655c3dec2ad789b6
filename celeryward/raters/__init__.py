"""Peer package of the rating service: cascades and rollout decisions."""
