"""Randomized soak test: real instances as processes, injected faults."""

# Seeds that once failed, each with the cause of the failure.
REGRESSION_SEEDS = {
    101: "a gang whose last task end was already stored stayed open after an"
    " election",
    111: "another connection took a port that the soak had chosen",
    412: "two soaks that ran at the same time chose the same port; a reload"
    " signal ended a process before its first import",
    202: "another part of the soak took a port that was already chosen; a leader"
    " started runs without a limit that was new and that it had missed",
    311: "a reload signal ended a process that was still starting",
    323: "a reload signal ended a process that was still starting",
    1005: "a reload signal ended a process that was still starting (open, issue"
    " 10); requests in progress at the end of a planned stop had no response",
    3005: "requests in progress at the end of a planned stop had no response",
    3007: "requests in progress at the end of planned stops of two instances"
    " had no response",
    5003: "a reload signal ended a process that was still starting (open, issue"
    " 10)",
    8009: "the soak replaced one worker twice at once, so that two processes had"
    " its id",
    7008: "a link of the soak could not listen on its port again",
    8013: "the soak reset a connection whose socket was closed",
    9503: "a command that was carried out late outlived its process",
    9507: "a command that was carried out late outlived its process",
    214: "the soak did not restart an instance that ended while suspended",
}
