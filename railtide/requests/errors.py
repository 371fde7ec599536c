"""Errors of requests to the router."""

from railtide.errors import ExecutionStatus, RailtideError

__all__ = [
    "AccountUnusable",
    "AnswerGone",
    "ClaimUnavailable",
    "DeadlineExceeded",
    "HolderFenced",
    "Interrupted",
    "InvalidRequest",
    "KeyReused",
    "KeyRequired",
    "NotAllowed",
    "OutcomeUnknown",
    "RequestError",
    "RequestInProgress",
    "TokensUndeclared",
    "Unauthorized",
    "UnknownRoute",
]


class RequestError(RailtideError):
    """Base of the requests' errors."""

    code = "request-error"
    status = 500


class InvalidRequest(RequestError):
    """The request is malformed; `detail` names the field and the allowed values."""

    code = "invalid-request"
    status = 400
    run = ExecutionStatus.NOT_RUN


class AccountUnusable(RequestError):
    """A header can't carry the name of the client account unchanged, so that no upstream gets it.

    Another version of the configuration may name it otherwise.
    """

    code = "account-unusable"
    status = 503
    run = ExecutionStatus.NOT_RUN


class TokensUndeclared(InvalidRequest):
    """A request for a model states no maximum of tokens, so that no budget can cover it."""

    code = "tokens-undeclared"


class Unauthorized(RequestError):
    """The bearer token belongs to no client account."""

    code = "unauthorized"
    status = 401
    run = ExecutionStatus.NOT_RUN
    depends_on_configuration = True


class UnknownRoute(RequestError):
    """No route of the configuration matches this host and path."""

    code = "unknown-route"
    status = 404
    run = ExecutionStatus.NOT_RUN
    depends_on_configuration = True


class NotAllowed(RequestError):
    """The account may not use this model or service, or none has that name."""

    code = "not-allowed"
    status = 403
    run = ExecutionStatus.NOT_RUN
    depends_on_configuration = True


class KeyRequired(RequestError):
    """A call that may not be repeated needs an Idempotency-Key."""

    code = "key-required"
    status = 400
    run = ExecutionStatus.NOT_RUN


class KeyReused(RequestError):
    """The Idempotency-Key was used for a different request of this account."""

    code = "key-reused"
    status = 422
    run = ExecutionStatus.NOT_RUN


class RequestInProgress(RequestError):
    """A request with this Idempotency-Key is still in progress; retry later for its answer."""

    code = "request-in-progress"
    status = 409
    run = ExecutionStatus.UNKNOWN


class AnswerGone(RequestError):
    """The request with this Idempotency-Key ran, but its answer is not stored."""

    code = "answer-gone"
    status = 410
    run = ExecutionStatus.RAN


class OutcomeUnknown(RequestError):
    """The call may have run and may not be repeated, so it is not sent again."""

    code = "outcome-unknown"
    status = 502
    run = ExecutionStatus.UNKNOWN


class ClaimUnavailable(RequestError):
    """The log can't record the claim that this request needs before it may run, for now."""

    code = "claim-unavailable"
    status = 503
    run = ExecutionStatus.NOT_RUN


class DeadlineExceeded(RequestError):
    """The deadline passed while an upstream was processing the request."""

    code = "deadline-exceeded"
    status = 504
    run = ExecutionStatus.UNKNOWN


class Interrupted(RequestError):
    """This router shut down while an upstream was processing the request."""

    code = "interrupted"
    status = 502
    run = ExecutionStatus.UNKNOWN


class HolderFenced(RequestError):
    """This router's incarnation was fenced before the request was sent."""

    code = "holder-fenced"
    status = 503
    run = ExecutionStatus.NOT_RUN
