"""The operators' interfaces: command line, admin port and reports."""
