"""Load reports of servers: taken in within bounds, aged, and never trusted further than they have
predicted."""
