"""Adapter to the users' platform: decodes its names, formats and calls into gapdrum's types.

This package makes no decisions, and no other package uses the platform's names. A comment
explains each platform field whose name is misleading.
"""
