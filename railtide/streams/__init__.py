"""Resumed streams, which continue at the software version of the upstream that began them."""
