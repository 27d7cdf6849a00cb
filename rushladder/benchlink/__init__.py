"""The simulator's adapter: hosts instances of the decision module over the simulator's line protocol."""
