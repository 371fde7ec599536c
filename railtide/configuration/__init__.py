"""Configuration objects, validated, versioned and changed by compare-and-swap proposals."""
