"""Test doubles that run as real processes: gateways, collectors, clients, resolvers and the platform."""
