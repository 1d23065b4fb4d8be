"""The coordinator of a zone: allowances, jobs, gangs and digests."""
