"""Requests: intents, claims and bills; dispatch, relay, retry and recovery."""
