"""Defines the errors that chicorycove raises."""


class ChicorycoveError(Exception):
    """Base class of all errors of this package."""


class SettingsError(ChicorycoveError):
    """The settings file cannot be read or is invalid."""


class CatalogueError(ChicorycoveError):
    """The catalogue or a change to it is invalid."""


class ConflictError(CatalogueError):
    """The change conflicts with one that was accepted before it."""


class GrantError(CatalogueError):
    """The operator lacks the grant for the change."""


class UnknownChangeError(CatalogueError):
    """The change is not in the history."""


class PlatformError(ChicorycoveError):
    """Base class of errors of the platform's services."""


class StoreUnavailable(PlatformError):
    """The store certainly did not execute the call.

    ``silence`` says for how many seconds its answer was due.
    """

    def __init__(self, *args: object, silence: float = 0.0) -> None:
        super().__init__(*args)
        self.silence = silence


class StoreUnknown(PlatformError):
    """It is unknown whether the store executed the call."""


class LeaseLost(PlatformError):
    """The lease has expired or was revoked."""


class TargetError(ChicorycoveError):
    """Base class of errors in communication with a target."""


class TargetUnreachable(TargetError):
    """No part of the request was sent to the target."""


class TargetFailed(TargetError):
    """The target failed after the request may have reached it."""
