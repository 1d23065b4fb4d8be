Feature: Starts check the process of their worker with few lists

  Scenario: Starts that arrive together read few lists of their worker
    Guards against a list of all that runs on a worker for each of many starts on
    new connections: the leader and the worker decode hundreds of long lists, and
    starts get no answer in time (cell/wide_jobs on a slow machine).
    Given a worker that answers a list when the test says so
    When 24 starts arrive together and have all connected
    Then the worker is asked for at most 4 lists at a time
    When the worker answers its lists
    Then all 24 tasks run
    And the worker was asked for at most 5 lists

  Scenario: A connection is not covered by a check that had begun before
    Guards against a start that reaches the next process of a worker, as the check
    of the former one began before its connection was opened.
    Given 4 checks of a process that have begun
    When 3 further checks are requested
    Then 4 checks have begun
    When a check ends
    Then 5 checks have begun
    When a check is requested and another one ends
    Then 6 checks have begun

  Scenario: A failed check fails for all that wait for it, and for no other
    Guards against a start on a connection whose check has failed.
    Given 4 checks of a process that have begun
    And 3 further checks are requested
    When all checks end, the last one with an error
    Then 4 checks have succeeded and 3 have failed

  Scenario: A check that is cancelled is taken over
    Guards against starts that wait for good, as the one whose check they waited
    for was given up.
    Given 4 checks of a process that have begun
    And 3 further checks are requested
    When the first of the further checks is cancelled
    And a check ends
    Then 5 checks have begun
    When all checks end
    Then 6 checks have succeeded and 0 have failed

  Scenario: Checks of different processes do not wait for each other
    Guards against one silent worker that delays starts on all others.
    Given 4 checks of a process that have begun
    When a check of another process is requested
    Then 5 checks have begun
