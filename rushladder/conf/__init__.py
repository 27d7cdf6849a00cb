"""The configuration: text in, checked objects out, every fault with its place."""
