"""The keeper: follows the log for the routers beside it and appends in groups for them."""
