"""The adapter to the users' platform: its settings, store, wire names and codes; no decisions."""
