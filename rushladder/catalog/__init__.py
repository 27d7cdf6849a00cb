"""The platform's list of workers: read whole or by a watch on its changes."""
