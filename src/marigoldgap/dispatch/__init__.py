"""Joins queue, placement, holdings, fleet and forwarding."""
