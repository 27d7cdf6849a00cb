"""Authoritative DNS server with weighted answers, driven by the same core as the other gateways."""
