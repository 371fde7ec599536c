"""A randomized soak of `railtide-edge` as real processes, with faults put in from outside them."""
