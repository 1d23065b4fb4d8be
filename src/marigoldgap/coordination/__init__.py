"""Zone coordinator: team allowances, jobs, gangs and zone digests."""
