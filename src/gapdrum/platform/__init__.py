"""The users' platform: its names, formats and calls, decoded once into gapdrum's types.

Nothing here decides anything, and nothing outside this folder knows the platform's names.
Where a name of theirs misleads, a comment says what the field really holds.
"""
