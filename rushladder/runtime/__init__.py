"""The runtime socket's grammar, both sides, after HAProxy's public management guide (section 9.3)."""
