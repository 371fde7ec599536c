"""Names of the platform's HTTP headers, each with the meaning of its value."""

__all__ = [
    "ACCOUNT",
    "API_KEY",
    "ATTEMPT_ID",
    "BRITTLE",
    "DEADLINE_MS",
    "END_TO_END",
    "EXPECTED_UPSTREAM",
    "EXPECTED_WEIGHTS",
    "KV_BACKUP",
    "KV_FETCH",
    "KV_FROM",
    "LAST_EVENT_ID",
    "LEAVING",
    "LENGTH_HINT",
    "LIMIT",
    "LOAD",
    "MODEL",
    "NOT_RUN",
    "PIN_MS",
    "PROMPT_PARTS",
    "RANK",
    "RESERVED_SLOT",
    "RESUMES",
    "RETRY_AFTER",
    "SEAL",
    "SET_BY_ROUTERS",
    "TOKENS",
    "UPSTREAM",
    "WEIGHTS",
]

ATTEMPT_ID = b"x-attempt-id"
"""The request's id, a new one each time a client sends it."""
DEADLINE_MS = b"x-deadline-ms"
"""Time that the sender is still willing to wait, milliseconds."""
API_KEY = b"x-credential"
"""The caller's API key, which is never forwarded."""
ACCOUNT = b"x-tenant"
"""Name of the client account, set by the router."""
EXPECTED_UPSTREAM = b"x-expect-instance"
"""Id of the engine that is meant; any other engine refuses the request."""
MODEL = b"x-model"
"""Name of the model that the request is for."""
LENGTH_HINT = b"x-length-hint"
"""Estimate of the output tokens."""
TOKENS = b"x-token-count"
"""Prompt tokens and maximum output tokens, separated by a comma."""
PROMPT_PARTS = b"x-prompt-prefix"
"""Parts of the prompt in order, ID:TOKENS each; all but the last may be shared by requests."""
RANK = b"x-request-urgency"
"""Priority in the engine's queue, 0 (first) to 9 (last)."""
LAST_EVENT_ID = b"last-event-id"
"""Id of the event after which a stream continues."""
RESUMES = b"resumes"
"""Id of the attempt that brought the caller the first event of the stream that it resumes."""
UPSTREAM = b"x-instance-id"
"""Id of the engine that responds."""
WEIGHTS = b"x-weight-versions"
"""Version of the model's weights that made the response."""
SEAL = b"x-response-seal"
"""The engine's signature of its response."""
NOT_RUN = b"x-not-executed"
"""Set by the engine if it did not execute the request."""
LOAD = b"x-instance-load"
"""Running requests, waiting requests and slots of the engine, separated by commas."""
RETRY_AFTER = b"retry-after"
"""In a 503 of an engine: seconds for which this router must send it no requests."""
LEAVING = b"server-leaving"
"""1 in every response of an engine that is leaving."""
LIMIT = b"server-limit"
"""Requests a second that an overloaded engine accepts from all routers together, a decimal."""
BRITTLE = b"server-brittle"
"""Requests a second that an engine may reject for want of room before it crashes, an integer."""
EXPECTED_WEIGHTS = b"x-expect-version"
"""Required version of the model's weights; an engine with another one refuses with 421."""
RESERVED_SLOT = b"x-hold"
"""Id of a slot and memory reserved at the engine."""
PIN_MS = b"x-pin-ms"
"""How long the engine keeps the request's KV cache after its end, milliseconds."""
KV_BACKUP = b"x-kv-backup"
"""Address of another engine to which the request's KV cache is copied."""
KV_FROM = b"kv-from"
"""Address and handle of a KV cache that the request continues from."""
KV_FETCH = b"kv-fetch"
"""Address of an engine from which cached parts of the prompt are fetched first."""

SET_BY_ROUTERS = frozenset(
    {
        DEADLINE_MS,
        API_KEY,
        ACCOUNT,
        EXPECTED_UPSTREAM,
        RANK,
        EXPECTED_WEIGHTS,
        RESERVED_SLOT,
        PIN_MS,
        KV_BACKUP,
        KV_FROM,
        KV_FETCH,
    }
)
"""Headers that a caller must not choose, and whose values from callers are never forwarded: the
client account, the priority, KV cache kept beyond the request, and KV caches of other engines."""

END_TO_END = frozenset(
    {
        b"host",
        b"content-type",
        ATTEMPT_ID,
        MODEL,
        TOKENS,
        PROMPT_PARTS,
        LENGTH_HINT,
        LAST_EVENT_ID,
        RESUMES,
        SEAL,
        UPSTREAM,
        WEIGHTS,
        RETRY_AFTER,
    }
)
"""Headers that a client and an engine exchange, which no connection option removes."""
