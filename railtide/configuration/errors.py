"""Errors of the configuration."""

from railtide.errors import RailtideError, Run

__all__ = [
    "ConfigurationError",
    "ConfigurationOutdated",
    "InvalidObject",
    "OutdatedVersion",
    "StaleConfiguration",
]


class ConfigurationError(RailtideError):
    """Base of the configuration's errors."""

    code = "configuration-error"
    status = 500
    run = Run.NOT_RUN


class InvalidObject(ConfigurationError):
    """An object's body is not valid; `detail` names the field and what is allowed."""

    code = "invalid-object"
    status = 422


class OutdatedVersion(ConfigurationError):
    """Another operator's proposal on the same version was accepted first."""

    code = "outdated-version"
    status = 409


class StaleConfiguration(ConfigurationError):
    """This router has been cut off for longer than the account allows."""

    code = "stale-configuration"
    status = 503


class ConfigurationOutdated(ConfigurationError):
    """By the configuration here the request is refused, and there may be a newer one; come back."""

    code = "configuration-outdated"
    status = 503
