"""A serving layer for language-model prompts of widely differing lengths."""

import importlib

__version__ = "0.1.0"

# Imported on first use: an entry listens before it imports the rest.
_MODULES = {
    "AgentId": "identity",
    "AttemptId": "identity",
    "Call": "request",
    "CatalogueError": "exceptions",
    "ChicorycoveError": "exceptions",
    "ConflictError": "exceptions",
    "PlatformError": "exceptions",
    "Prompt": "request",
    "Reason": "reason",
    "Request": "request",
    "SettingsError": "exceptions",
    "TargetError": "exceptions",
    "Verdict": "verdict",
}

__all__ = list(_MODULES)


def __getattr__(name: str) -> object:
    """Import a main name from its module."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{_MODULES[name]}", __name__), name)
