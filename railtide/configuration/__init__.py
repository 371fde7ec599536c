"""Configuration: proposals on a base version, and the objects in force."""
