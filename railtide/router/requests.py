"""Conversion of a caller's HTTP request into an authenticated, validated and priced call."""

from dataclasses import dataclass, field
from uuid import uuid4

import msgspec
import trio
import xxhash

from railtide.configuration.directory import Directory
from railtide.configuration.models import AccountSettings, ModelBody, ServiceBody, key_hash
from railtide.lanes.queue import Urgency
from railtide.requests.call import Call, Prices
from railtide.requests.errors import InvalidRequest, KeyRequired, NotAllowed, Unauthorized
from railtide.router.options import RouterOptions
from railtide.upstreams.balancing import Affinity

__all__ = ["CHAT_PATH", "SERVICES_PATH", "HttpRequest", "account_of", "call_of"]

CHAT_PATH = "/v1/chat/completions"
SERVICES_PATH = "/services/"
BEARER = "bearer "
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
METHODS = (*SAFE_METHODS, "POST", "PUT", "PATCH", "DELETE")
TEMPLATE_TOKENS = 16
"""Tokens reserved for each message in addition to its bytes, for the engine's chat template."""
MAX_KEY_LENGTH = 255
MIN_TIMEOUT_S = 0.001
MAX_TIMEOUT_S = 3600.0
TIMEOUT_HEADER = "railtide-timeout"
URGENCY_HEADER = "railtide-urgency"
KEY_HEADER = "idempotency-key"


@dataclass(frozen=True)
class HttpRequest:
    """A complete HTTP request; header names are in lower case."""

    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class _ChatBody(msgspec.Struct):
    model: str
    messages: list[msgspec.Raw]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_chat_decoder = msgspec.json.Decoder(_ChatBody)


def account_of(request: HttpRequest, directory: Directory) -> str:
    """Return the account of the request's bearer token.

    Raises
    ------
    Unauthorized
        The token is missing or belongs to no account.
    """
    header = request.headers.get("authorization", "")
    if header[: len(BEARER)].lower() != BEARER:
        raise Unauthorized("send Authorization: Bearer with the client account's API key")
    account = directory.account_of_key_hash(key_hash(header[len(BEARER) :].strip()))
    if account is None or directory.settings(account) is None:
        raise Unauthorized("the API key belongs to no client account")
    return account


def call_of(request: HttpRequest, directory: Directory, options: RouterOptions) -> Call:
    """Return the call described by a request.

    Raises
    ------
    RailtideError
        With `run` not-run in every case.
    """
    account = account_of(request, directory)
    settings = directory.settings(account)
    if request.path == CHAT_PATH:
        return _chat_call(request, directory, account, settings, options)
    return _service_call(request, directory, account, settings)


def _chat_call(
    request: HttpRequest,
    directory: Directory,
    account: str,
    settings: AccountSettings,
    options: RouterOptions,
) -> Call:
    if request.method != "POST":
        raise InvalidRequest(f"{CHAT_PATH} accepts only POST")
    body = _decode_chat(request.body)
    model = _allowed_model(directory, settings, body.model)
    max_output = _max_output(body, settings)
    prompt = b"".join(bytes(message) for message in body.messages)
    max_input = len(prompt) + TEMPLATE_TOKENS * len(body.messages)
    prices = Prices(token_in=model.price_in, token_out=model.price_out)
    return Call(
        **_common_fields(request, account, settings),
        pool=model.pool,
        path=CHAT_PATH,
        body=_with_limit(request.body, body, max_output),
        prices=prices,
        reserve=max_input * model.price_in + max_output * model.price_out,
        prompt_tokens=max_input,
        stream=body.stream,
        repeatable=True,
        affinity=_affinity(account, prompt[: options.prefix_bytes]),
    )


def _decode_chat(body: bytes) -> _ChatBody:
    try:
        return _chat_decoder.decode(body)
    except msgspec.DecodeError as err:
        raise InvalidRequest(f"the body is not a chat completion request: {err}") from err


def _allowed_model(directory: Directory, settings: AccountSettings, name: str) -> ModelBody:
    model = directory.model(name)
    if model is None or name not in settings.models:
        raise NotAllowed(f"the account may not use model {name!r}, or it does not exist")
    return model


def _max_output(body: _ChatBody, settings: AccountSettings) -> int:
    requested = body.max_completion_tokens or body.max_tokens or settings.max_output_tokens
    if requested < 1:
        raise InvalidRequest("max_tokens: must be at least 1")
    return min(requested, settings.max_output_tokens)


def _with_limit(body: bytes, chat: _ChatBody, max_output: int) -> bytes:
    """Return the body with its output limited, so that the cost can't exceed the reserve."""
    if chat.max_tokens == max_output and chat.max_completion_tokens is None:
        return body
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields.pop("max_completion_tokens", None)
    fields["max_tokens"] = msgspec.Raw(str(max_output).encode())
    return msgspec.json.encode(fields)


def _affinity(account: str, prefix: bytes) -> Affinity:
    """Return the affinity key of a prompt's prefix; accounts never share a key."""
    return Affinity(f"{account}/{xxhash.xxh3_64_hexdigest(prefix)}")


def _service_call(
    request: HttpRequest, directory: Directory, account: str, settings: AccountSettings
) -> Call:
    if request.method not in METHODS:
        raise InvalidRequest(f"method {request.method!r} is not one of {', '.join(METHODS)}")
    name, _, service_path = request.path.removeprefix(SERVICES_PATH).partition("/")
    service = directory.service(name)
    if service is None or name not in settings.services:
        raise NotAllowed(f"the account may not use service {name!r}, or it does not exist")
    repeatable = _is_repeatable(service, request.method, service_path)
    common_fields = _common_fields(request, account, settings)
    if not repeatable and not common_fields["key"]:
        raise KeyRequired("this call runs at most once and requires an Idempotency-Key")
    query = f"?{request.query}" if request.query else ""
    return Call(
        **common_fields,
        pool=service.pool,
        path=f"/{service_path}{query}",
        body=request.body,
        prices=Prices(call=service.price),
        reserve=service.price,
        prompt_tokens=0,
        repeatable=repeatable,
    )


def _is_repeatable(service: ServiceBody, method: str, path: str) -> bool:
    if method in SAFE_METHODS:
        return True
    return not any(path.startswith(prefix.lstrip("/")) for prefix in service.once)


def _common_fields(
    request: HttpRequest, account: str, settings: AccountSettings
) -> dict[str, object]:
    """Return the fields that chat and service calls have in common."""
    headers = request.headers
    key = headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH:
        raise InvalidRequest(f"{KEY_HEADER}: at most {MAX_KEY_LENGTH} characters")
    return {
        "request_id": f"rt-{uuid4().hex}",
        "account": account,
        "settings": settings,
        "method": request.method,
        "content_type": headers.get("content-type", "application/json"),
        "urgency": _urgency(headers.get(URGENCY_HEADER, ""), settings),
        "deadline": trio.current_time() + _timeout(headers.get(TIMEOUT_HEADER, ""), settings),
        "key": key,
        "digest": _digest(request),
        "traceparent": headers.get("traceparent", ""),
    }


def _digest(request: HttpRequest) -> int:
    head = f"{request.method} {request.path}?{request.query}\n".encode()
    return xxhash.xxh3_64_intdigest(head + request.body)


def _urgency(requested: str, settings: AccountSettings) -> Urgency:
    """Return the account's urgency, or a lower one that the caller requested."""
    allowed = Urgency[settings.urgency.upper()]
    if not requested:
        return allowed
    if requested.upper() not in Urgency.__members__:
        raise InvalidRequest(f"{URGENCY_HEADER}: must be urgent or bulk")
    return max(allowed, Urgency[requested.upper()])


def _timeout(requested: str, settings: AccountSettings) -> float:
    if not requested:
        return settings.request_timeout_s
    try:
        seconds = float(requested)
    except ValueError as err:
        raise InvalidRequest(f"{TIMEOUT_HEADER}: must be a number of seconds") from err
    if not MIN_TIMEOUT_S <= seconds <= MAX_TIMEOUT_S:
        raise InvalidRequest(
            f"{TIMEOUT_HEADER}: must be from {MIN_TIMEOUT_S} to {MAX_TIMEOUT_S} seconds"
        )
    return seconds
