Feature: The session of a worker ends with the leadership

  Scenario: A closed session renews no lease
    Guards against a former leader that keeps the runs of a worker alive after
    the new leader has started them elsewhere: the cancellation of the session
    arrives in the moment in which the ends of runs are stored.
    Given a session that waits until the end of a run is stored
    When the end is stored and the session is cancelled at the same moment
    Then the session ends without a further renewal
