"""Header names of the platform, each with what it holds."""

__all__ = [
    "ACCOUNT",
    "API_KEY",
    "ATTEMPT_ID",
    "DEADLINE_MS",
    "EXPECTED_UPSTREAM",
    "EXPECTED_WEIGHTS",
    "KV_BACKUP",
    "KV_FETCH",
    "KV_FROM",
    "LAST_EVENT_ID",
    "LEAVING",
    "LIMIT",
    "LOAD",
    "NOT_RUN",
    "PROMPT_PARTS",
    "PIN_MS",
    "RANK",
    "RESERVED_SLOT",
    "RETRY_AFTER",
    "SEAL",
    "SET_BY_ROUTERS",
    "TOKENS",
]

ATTEMPT_ID = b"x-attempt-id"
"""The request's id: one for each time a client sends it."""
DEADLINE_MS = b"x-deadline-ms"
"""How long the sender will wait from now, milliseconds."""
API_KEY = b"x-credential"
ACCOUNT = b"x-tenant"
EXPECTED_UPSTREAM = b"x-expect-instance"
"""Id of the only engine that may run the request."""
TOKENS = b"x-token-count"
"""Prompt tokens and most output tokens, separated by a comma."""
PROMPT_PARTS = b"x-prompt-prefix"
"""Parts of the prompt in order, ID:TOKENS each; the last belongs to this request alone."""
RANK = b"x-request-urgency"
"""Place in the engine's queue, 0 first, 9 last."""
LAST_EVENT_ID = b"last-event-id"
SEAL = b"x-response-seal"
"""The engine's signature on its answer."""
NOT_RUN = b"x-not-executed"
"""The engine's word that it did not run the request."""
LOAD = b"x-instance-load"
"""Requests running, requests waiting and slots of the engine."""
RETRY_AFTER = b"retry-after"
"""Seconds for which an engine that refused with 503 wants nothing from this router."""
LEAVING = b"server-leaving"
"""1 in all answers of an engine that leaves."""
LIMIT = b"server-limit"
"""Requests a second that an engine in need takes from all routers together, a decimal number."""
EXPECTED_WEIGHTS = b"x-expect-version"
"""Version of the model's weights without which the engine refuses with 421."""
RESERVED_SLOT = b"x-hold"
"""Id of a slot and memory that were reserved at the engine."""
PIN_MS = b"x-pin-ms"
"""How long the engine keeps the run's tokens in memory after its end, milliseconds."""
KV_BACKUP = b"x-kv-backup"
"""Address of another engine that the run's memory is copied to."""
KV_FROM = b"kv-from"
"""Address and handle of a run's memory that the request goes on from."""
KV_FETCH = b"kv-fetch"
"""Address of an engine from which kept parts of the prompt are fetched first."""

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
"""What a caller may not choose at an engine: whose request it is, its place in the queue, memory
beyond its run, and other engines' memory. A caller's own values never reach an engine."""
