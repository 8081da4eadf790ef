"""HTTP/1.1 over asyncio with the httptools parser: one server, one client, no decisions."""
