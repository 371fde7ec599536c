"""Header names of the platform, each with what it holds."""

__all__ = [
    "ACCOUNT",
    "API_KEY",
    "ATTEMPT_ID",
    "DEADLINE_MS",
    "EXPECTED_UPSTREAM",
    "LAST_EVENT_ID",
    "LOAD",
    "NOT_RUN",
    "PROMPT_PARTS",
    "RANK",
    "SEAL",
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
