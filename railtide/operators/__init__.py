"""Tools for operators: the `railtidectl` program, which publishes, tops up, shows and explains."""
