"""The version of the package, kept apart so that the build can read it alone."""

__version__ = "0.1.0"
