"""Code generated from the schema; `make schema` writes it anew."""
