"""The configuration of a manager: parses its file into objects and reports errors with their lines."""
