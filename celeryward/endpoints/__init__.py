"""Endpoints: model engines and plain services behind the daemons."""
