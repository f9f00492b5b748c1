"""The users' platform: its names, its messages and the calls to it.

Everything here only translates. Wire names are decoded once, into the project's
types; nothing outside this package knows them.
"""
