"""The runtime API's line protocol, client and server side, after HAProxy's management guide (section 9.3)."""
