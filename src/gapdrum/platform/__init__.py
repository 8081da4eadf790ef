"""Adapter to the users' platform: decodes its names, formats and calls into gapdrum's types.

This package makes no decisions, and no other package decodes the platform's formats. The
platform's route is a queue here, its service or pool an upstream, and its hold call a poll.
"""
