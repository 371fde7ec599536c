"""Adapter to the platform: its settings, store, wire names and codes; no routing decisions."""
