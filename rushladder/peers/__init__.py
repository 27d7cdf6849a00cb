"""Words between managers: protobuf messages over UDP. Lost, late, repeated or foreign ones do no harm."""
