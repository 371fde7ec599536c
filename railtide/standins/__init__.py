"""Small stand-ins for the platform and the upstreams, each with faults that can be set."""
