"""The peer `entry instance`: protocol, links, membership and terms."""
