"""The journal: entries in the platform's log, their fold, checkpoints and ways to the log."""
