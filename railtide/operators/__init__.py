"""The operators' side: publish, top up, show, explain."""
