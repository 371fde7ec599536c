"""Stand-ins of the review: engines, clients and the processes of a small deployment."""
