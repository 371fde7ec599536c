"""Messages between railtide's processes, and the links that transport them."""
