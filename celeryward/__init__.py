"""Model-aware router for versions and cascades of language models."""

__version__ = '0.1.0'
