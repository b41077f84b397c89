"""The errors that chicorycove raises."""


class ChicorycoveError(Exception):
    """Base of every error of this package."""


class SettingsError(ChicorycoveError):
    """A settings file that cannot be used."""


class CatalogueError(ChicorycoveError):
    """A catalogue, or a change of it, that is not valid."""


class ConflictError(CatalogueError):
    """A change that lost against another one."""


class GrantError(CatalogueError):
    """A change that its operator has no right to make."""


class UnknownChangeError(CatalogueError):
    """A change that the history does not have."""


class PlatformError(ChicorycoveError):
    """Base of the errors of the platform's services."""


class StoreUnavailable(PlatformError):
    """A call that the store certainly did not carry out."""


class StoreUnknown(PlatformError):
    """A call whose effect on the store is not known."""


class LeaseLost(PlatformError):
    """A lease that has lapsed or was revoked."""


class TargetError(ChicorycoveError):
    """Base of the errors met in talking to a target."""


class TargetUnreachable(TargetError):
    """A target to which nothing of the request was sent."""


class TargetFailed(TargetError):
    """A target that failed after the request may have reached it."""
