"""Messages between railtide's own processes and the links that carry them."""
