"""Receives load reports of servers: limits their rate, ages them, and trusts them only as far as they have
predicted measured latencies."""
