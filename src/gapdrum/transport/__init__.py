"""HTTP/1.1 over asyncio with the httptools parser: a server and a client."""
