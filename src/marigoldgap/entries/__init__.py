"""Peer protocol of entry instances: links, membership and terms."""
