"""Errors of the configuration."""

from railtide.errors import ExecutionStatus, RailtideError

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
    run = ExecutionStatus.NOT_RUN


class InvalidObject(ConfigurationError):
    """The body of a configuration object is invalid; `detail` names the field and its bounds."""

    code = "invalid-object"
    status = 422


class OutdatedVersion(ConfigurationError):
    """Another operator's change to the same version of the object was accepted first."""

    code = "outdated-version"
    status = 409


class StaleConfiguration(ConfigurationError):
    """This router has had no contact with the log for longer than the account allows."""

    code = "stale-configuration"
    status = 503


class ConfigurationOutdated(ConfigurationError):
    """The router's configuration refuses the request but may be outdated; retry the request."""

    code = "configuration-outdated"
    status = 503
