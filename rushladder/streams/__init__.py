"""The platform's road: collectors and proxies speak to a manager in lines, and a manager orders in lines."""
