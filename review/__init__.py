"""An independent review: cases that break a promise, with the scripts that show them."""
