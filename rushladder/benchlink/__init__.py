"""Hosts instances of the decision module on the bench's wire."""
