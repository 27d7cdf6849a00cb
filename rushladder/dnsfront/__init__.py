"""Authoritative DNS answers with weights, on the same core as the runtime front."""
