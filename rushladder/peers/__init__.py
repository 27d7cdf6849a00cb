"""Messages between managers, sent as UDP datagrams. Lost, late, repeated and foreign datagrams are
harmless."""
