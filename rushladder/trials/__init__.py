"""End-to-end trials: written scenario days, played with real processes on loopback, and judged solely by what
crossed the sockets."""
