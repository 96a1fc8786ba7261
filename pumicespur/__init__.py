"""A fleet capacity and maintenance manager for small platform teams."""

__version__ = "0.1.0"
