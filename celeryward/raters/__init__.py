"""The answer-rating service: cascades and roll-out decisions."""
