"""A serving layer for language-model prompts of widely differing lengths."""

from .exceptions import (
    CatalogueError,
    ChicorycoveError,
    ConflictError,
    PlatformError,
    SettingsError,
    TargetError,
)
from .identity import AgentId, AttemptId
from .reason import Reason
from .request import Call, Prompt, Request
from .verdict import Verdict

__version__ = "0.1.0"

__all__ = [
    "AgentId",
    "AttemptId",
    "Call",
    "CatalogueError",
    "ChicorycoveError",
    "ConflictError",
    "PlatformError",
    "Prompt",
    "Reason",
    "Request",
    "SettingsError",
    "TargetError",
    "Verdict",
]
