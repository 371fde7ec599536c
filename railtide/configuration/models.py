"""Validation of published objects, and the merge of an account with its template."""

from hashlib import sha256
from typing import Literal

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from railtide.configuration.errors import InvalidObject
from railtide.configuration.messages import Kind

__all__ = [
    "AccountBody",
    "AccountSettings",
    "ModelBody",
    "ServiceBody",
    "TemplateBody",
    "check_body",
    "key_hash",
    "resolve_account",
]


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class AccountSettings(_Body):
    """Settings of one client account. A template sets them and an account may override them.

    Attributes
    ----------
    models, services : list of str
        Models and services that the account may use.
    urgency : {"urgent", "bulk"}
        The most urgent lane that its requests may use.
    weight : int
        Relative share of a lane among accounts.
    grant_horizon_s : float
        An allocation covers about this many seconds of the account's traffic at a router.
    grant_min : int
        Least units requested in one grant, as long as the budget has them.
    exposure_percent : int
        Share of a grant that may be spent on requests whose intents are not in the log yet. With
        more, a router serves longer while the log is down; with less, fewer units are stranded when
        a router dies.
    budget_wait_s : float
        How long a request may wait for a grant before it is refused.
    request_timeout_s : float
        Deadline of a request that carries none.
    max_output_tokens : int
        Upper bound and default of a request's output.
    keep_answer_bytes : int
        Answers up to this size are stored with the bill, so that any router can replay them.
    entrances : int
        Number of router addresses returned to a caller.
    max_stale_s : float
        Refuse requests if the router's configuration is older than this; 0 for never.
    """

    models: list[str] = []
    services: list[str] = []
    urgency: Literal["urgent", "bulk"] = "bulk"
    weight: int = Field(1, ge=1, le=1000)
    grant_horizon_s: float = Field(20.0, gt=0, le=86_400)
    grant_min: int = Field(1, ge=1)
    exposure_percent: int = Field(50, ge=0, le=100)
    budget_wait_s: float = Field(1.0, ge=0, le=30)
    request_timeout_s: float = Field(60.0, gt=0, le=3600)
    max_output_tokens: int = Field(1024, ge=1, le=1_000_000)
    keep_answer_bytes: int = Field(2048, ge=0, le=65_536)
    entrances: int = Field(3, ge=1, le=16)
    max_stale_s: float = Field(0.0, ge=0)


class TemplateBody(AccountSettings):
    """A template: settings that many accounts share."""


class AccountBody(_Body):
    """An account: its template, the SHA-256 of its API keys, and its own settings."""

    template: str
    key_hashes: list[str] = []
    parameters: dict[str, object] = {}


class ModelBody(_Body):
    """A model: the pool that serves it, and its prices in units per token."""

    pool: str
    price_in: int = Field(1, ge=0)
    price_out: int = Field(1, ge=0)


class ServiceBody(_Body):
    """A plain service: its pool, its price in units per call, and its non-repeatable calls.

    `once` lists path prefixes whose calls run at most once. HTTP's safe methods are always
    repeatable.
    """

    pool: str
    price: int = Field(1, ge=0)
    once: list[str] = []


_BODY_BY_KIND: dict[str, type[_Body]] = {
    Kind.TEMPLATE: TemplateBody,
    Kind.ACCOUNT: AccountBody,
    Kind.MODEL: ModelBody,
    Kind.SERVICE: ServiceBody,
}


def check_body(kind: str, body: bytes) -> _Body:
    """Return the validated model of an object's JSON body.

    Raises
    ------
    InvalidObject
        Unknown kind, or a field that is unknown or out of its bounds.

    Examples
    --------
    >>> check_body("model", b'{"pool": "menus"}').price_out
    1
    """
    model = _BODY_BY_KIND.get(kind)
    if model is None:
        raise InvalidObject(f"kind {kind!r} is not one of {', '.join(_BODY_BY_KIND)}")
    try:
        return model.model_validate_json(body)
    except ValidationError as err:
        raise InvalidObject(_first_problem(err)) from err


def _first_problem(err: ValidationError) -> str:
    problem = err.errors()[0]
    location = ".".join(str(part) for part in problem["loc"]) or "body"
    return f"{location}: {problem['msg']}"


def resolve_account(template: TemplateBody, account: AccountBody) -> AccountSettings:
    """Return the template's settings, overridden by the account's parameters.

    Raises
    ------
    InvalidObject
        If a parameter is unknown or out of its bounds.

    Examples
    --------
    >>> account = AccountBody(template="crew", parameters={"urgency": "urgent"})
    >>> resolve_account(TemplateBody(weight=3), account).urgency
    'urgent'
    """
    merged = template.model_dump() | account.parameters
    try:
        return AccountSettings.model_validate_json(msgspec.json.encode(merged))
    except ValidationError as err:
        raise InvalidObject(_first_problem(err)) from err


def key_hash(api_key: str) -> str:
    """Return the digest under which an API key is published.

    Examples
    --------
    >>> key_hash("secret")[:8]
    '2bb80d53'
    """
    return sha256(api_key.encode()).hexdigest()
