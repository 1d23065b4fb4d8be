Feature: An instance that shuts down answers every request that it has read

  Scenario Outline: A request in progress at the end of the shutdown is answered
    Guards against a connection that ends without a response after SIGTERM
    (issue 23).
    Given a cell with 1 workers and 1 instances
    When the store is silent and a caller sends <request> on an open connection
    And the instance is asked to stop
    Then the caller gets <status> with the code <code> before the process ends

    Examples:
      | request        | status | code         |
      | a submission   | 504    | outcome-open |
      | a query        | 503    | interrupted  |
      | a cancellation | 503    | interrupted  |

  Scenario: A submission that has not begun when the instance ends never runs
    Guards against an unknown outcome of a submission that was only read.
    Given a cell with 1 workers and 1 instances
    When the store is silent and a caller sends two submissions at once
    And the instance is asked to stop
    Then the first one gets 504 and the second one 503

  Scenario: A submission that cannot be answered before the end is rejected
    Guards against requests that are taken on open connections shortly before
    the process ends (issue 23).
    Given a cell with 1 workers and 1 instances
    When a caller has an open connection
    And the instance is asked to stop
    And a submission arrives on that connection 1 s before the process must end
    Then it is answered at once with 503, to be retried elsewhere at once
    And no task was started

  Scenario: Requests are served during the first part of the shutdown
    Guards against rejecting callers that can still be served.
    Given a cell with 1 workers and 1 instances
    When a caller has an open connection
    And the instance is asked to stop
    And a submission arrives on that connection at once
    Then it is answered with 200

  Scenario: A late hand-over of leadership does not delay the end
    Guards against a process that is killed with requests in progress while it
    waits for the store.
    Given a cell with 1 workers and 1 instances
    And the store answers the release of leadership after 3 s
    When the leader is asked to stop several times and to reload its settings
    Then the process has ended 0.5 s before it would be killed

  Scenario: Leadership that is won during the shutdown is released at once
    Guards against a leader that ends without a hand-over, if it was asked to
    stop while it claimed the leadership.
    Given a cell with 1 workers and 2 instances
    When the leader ends
    And the other instance is asked to stop while it claims the leadership
    Then it never schedules
    And the leadership is released

  Scenario: An instance that is asked to stop accepts no take-over any more
    Guards against a second change of the leader, if the instance that takes
    over was asked to stop before its claim.
    Given a cell with 1 workers and 2 instances
    When the other instance is asked to stop while it reads to take over
    Then it declines and the election row is unchanged

  Scenario Outline: The log says whether leadership was handed over
    Guards against a log that reports a hand-over that failed or had no cause.
    Given a cell with 1 workers and 2 instances
    And the release of leadership <result>
    When the <instance> is asked to stop and has ended
    Then the end of the drain is logged with a hand-over that is <outcome>

    Examples:
      | instance       | result             | outcome |
      | leader         | succeeds           | True    |
      | other instance | succeeds           | None    |
      | leader         | is refused         | False   |
      | leader         | fails unexpectedly | False   |

  Scenario: Leadership that nobody takes over at once has been handed over
    Guards against a log that reports a failure although leadership is released.
    Given a cell with 1 workers and 1 instances
    And no instance answers whether it takes over
    When the leader is asked to stop and has ended
    Then the end of the drain is logged with a hand-over that is True
    And no failed hand-over is logged
    And the leadership is released

  Scenario: An unexpected error of a hand-over is logged and ends leadership
    Guards against a leader that goes on and leaves no trace of the error.
    Given a cell with 1 workers and 2 instances
    And the release of leadership fails unexpectedly
    When the leader is asked to stop and has ended
    Then the error is logged with its stack
    And it had stopped scheduling before its process ended

  Scenario: A process that is suspended when it is asked to stop ends in time
    Guards against a process that is killed with requests in progress, since it
    counts its time from when it handles the signal (issue 23).
    Given a cell with 1 workers and 1 instances
    And a process that serves callers
    When the store is silent and a caller sends a submission to the process
    And the process is suspended for 1.5 s and gets SIGTERM meanwhile
    Then the caller gets 504 before the process would be killed
    And the process ends before it would be killed
