"""The platform's line protocol: collectors and proxies send reports, a manager answers with tables."""
