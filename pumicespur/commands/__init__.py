"""One module for each command; a command reads top to bottom as its story."""
