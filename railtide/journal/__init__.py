"""The journal: entries in the platform's log, their fold into state, checkpoints, and clients."""
