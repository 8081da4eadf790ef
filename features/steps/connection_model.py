"""A stand-in for the transport of a connection."""


class FakeTransport:
    """Records what is written to a caller's connection, and whether it is closed."""

    def __init__(self):
        self.written = b""
        self.closed = False

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    abort = close

    def is_closing(self):
        return self.closed

    def set_write_buffer_limits(self, _high):
        pass

    def get_write_buffer_size(self):
        return 0
