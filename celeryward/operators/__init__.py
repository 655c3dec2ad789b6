"""Operators: the command line, the admin port and reports."""
