"""Discovery's list of workers: read as a whole list or as a stream of changes (watch)."""
