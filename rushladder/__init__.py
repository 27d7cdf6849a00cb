"""Rushladder decides tables, levels and withdrawals for plain proxies, and publishes them."""

__version__ = "0.3.0"
