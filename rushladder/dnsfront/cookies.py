"""DNS cookies (RFC 7873; laid out as RFC 9018 has it, with a keyed BLAKE2 in place of SipHash, which the RFCs
leave to the server). Free of I/O."""

from __future__ import annotations

import hashlib
import hmac

LIFE = 3600  # s that a server cookie is taken for; RFC 9018
AHEAD = 300  # s that another manager's clock may be ahead
RENEW = 1800  # s after which a new one is given


def _digest(secret: bytes, client: bytes, head: bytes, address: str) -> bytes:
    return hashlib.blake2b(client + head + address.encode(), key=secret, digest_size=8).digest()


def make(secret: bytes, client: bytes, address: str, now: int) -> bytes:
    """The 16 bytes of a server cookie. now: seconds since 1970, shared by all managers with the secret."""
    head = b"\x01\0\0\0" + (now & 0xFFFFFFFF).to_bytes(4, "big")
    return head + _digest(secret, client, head, address)


def holds(secret: bytes, client: bytes, given: bytes, address: str, now: int) -> bool:
    """Whether a server cookie is ours, for this client and address, and not too old."""
    if len(given) != 16 or given[0] != 1:
        return False
    age = now - int.from_bytes(given[4:8], "big")
    return -AHEAD <= age <= LIFE and hmac.compare_digest(
        given[8:], _digest(secret, client, given[:8], address)
    )


def stale(given: bytes, now: int) -> bool:
    return now - int.from_bytes(given[4:8], "big") > RENEW
