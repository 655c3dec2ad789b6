"""Traffic between daemons: gossip, membership and copies of bills."""
