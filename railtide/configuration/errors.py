"""Errors of the configuration."""

from railtide.errors import RailtideError, Run

__all__ = ["ConfigurationError", "InvalidObject", "OutdatedVersion", "StaleConfiguration"]


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
