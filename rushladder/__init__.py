"""rushladder: a control plane that decides tables, levels and withdrawals for plain proxies."""
