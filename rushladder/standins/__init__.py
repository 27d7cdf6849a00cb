"""Small stand-ins for gateways, collectors and clients, and nothing more: what trials and tests are run
against."""
