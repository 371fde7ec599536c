"""Requests: intents, claims and bills; dispatch, retry and recovery."""
