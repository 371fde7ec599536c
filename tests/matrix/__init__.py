"""The fault matrix: every fault at every step, on a virtual clock, over fakes at the interfaces."""
