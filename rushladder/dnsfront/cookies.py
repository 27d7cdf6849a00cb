"""DNS cookies (RFC 7873), without I/O.

The layout is that of RFC 9018, with keyed BLAKE2 in place of SipHash: the RFCs leave the hash to the server.
"""

from __future__ import annotations

import hashlib
import hmac

MAX_AGE = 3600  # s for which a server cookie is accepted (RFC 9018)
MAX_CLOCK_SKEW = 300  # s by which the clock of the manager that made the cookie may be ahead
RENEW_AFTER = 1800  # s after which a client gets a new cookie


def _digest(secret: bytes, client_cookie: bytes, header: bytes, address: str) -> bytes:
    return hashlib.blake2b(client_cookie + header + address.encode(), key=secret, digest_size=8).digest()


def make_server_cookie(secret: bytes, client_cookie: bytes, address: str, now: int) -> bytes:
    """Returns a server cookie of 16 bytes.

    now: seconds since 1970, the time that all managers with the same secret go by.
    """
    header = b"\x01\0\0\0" + (now & 0xFFFFFFFF).to_bytes(4, "big")
    return header + _digest(secret, client_cookie, header, address)


def is_valid(secret: bytes, client_cookie: bytes, server_cookie: bytes, address: str, now: int) -> bool:
    """Whether a server cookie was made with the secret for this client and address, and has not expired."""
    if len(server_cookie) != 16 or server_cookie[0] != 1:
        return False
    age = now - int.from_bytes(server_cookie[4:8], "big")
    return -MAX_CLOCK_SKEW <= age <= MAX_AGE and hmac.compare_digest(
        server_cookie[8:], _digest(secret, client_cookie, server_cookie[:8], address)
    )


def needs_renewal(server_cookie: bytes, now: int) -> bool:
    """Whether a valid server cookie is old enough to be replaced."""
    return now - int.from_bytes(server_cookie[4:8], "big") > RENEW_AFTER
