"""Integration with the users' platform: its wire formats and the calls to it.

This package only translates: messages are decoded once into the project's types, and
no other package depends on the platform's wire names.
"""
