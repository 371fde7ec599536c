"""Stand-ins of the platform, engines and clients for the scripts of the second review."""
