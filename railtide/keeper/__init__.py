"""The keeper: reads the log for the routers of its instance and batches their appends to it."""
