Feature: The times of a shutdown leave callers an answer

  Scenario Outline: A request is handled only if there is time to answer it
    Guards against taking a request that the end of the process cuts off, and
    against rejecting callers that can be served.
    Given a shutdown of 6 s that was requested at 100 s
    Then a request that arrives at <second> s is <decision>

    Examples:
      | second | decision |
      | 100.0  | accepted |
      | 103.5  | accepted |
      | 103.7  | rejected |
      | 104.9  | rejected |

  Scenario: The last request that is handled has time for its answer
    Guards against two values for the time that a submission takes.
    Given a shutdown of 6 s that was requested at 100 s
    Then a submission with the usual deadline that is accepted last is answered
    And it is accepted until less than 0.1 s before that would be too late

  Scenario Outline: The instance ends when it is idle or its time is up
    Guards against an end while callers are routed to the instance, and against
    a process that is killed with requests in progress.
    Given a shutdown of 6 s that was requested at 100 s
    Then an instance that is <state> at <second> s <outcome>

    Examples:
      | state | second | outcome |
      | idle  | 102.4  | goes on |
      | idle  | 102.6  | ends    |
      | busy  | 104.9  | goes on |
      | busy  | 105.0  | ends    |

  Scenario Outline: A short shutdown serves callers first and ends in time
    Guards against an instance that rejects every request from SIGTERM on, and
    against margins that are longer than the shutdown.
    Given a shutdown of <shutdown> s that was requested at 100 s
    Then a request that arrives at <accepted> s is accepted
    And a request that arrives at <rejected> s is rejected
    And an instance that is busy at <goes_on> s goes on
    And an instance that is busy at <ends> s ends
    And the last responses are sent within <flush> s

    Examples:
      | shutdown | accepted | rejected | goes_on | ends  | flush |
      | 6.0      | 103.5    | 103.7    | 104.9   | 105.0 | 0.30  |
      | 4.0      | 101.5    | 101.7    | 102.9   | 103.0 | 0.30  |
      | 3.5      | 101.0    | 101.2    | 102.4   | 102.5 | 0.30  |
      | 3.0      | 100.7    | 100.9    | 101.9   | 102.0 | 0.30  |
      | 2.4      | 100.5    | 100.8    | 101.5   | 101.7 | 0.25  |
      | 1.0      | 100.2    | 100.4    | 100.6   | 100.7 | 0.11  |

  Scenario: The time before a late signal was handled is used up
    Guards against a process that was suspended when it was asked to stop and is
    killed with requests in progress (issue 23).
    Given a shutdown of 6 s that was requested at 100 s
    And its signal may have waited for 1.5 s before
    Then a request that arrives at 102.0 s is accepted
    And a request that arrives at 102.2 s is rejected
    And an instance that is idle at 102.4 s goes on
    And an instance that is busy at 103.4 s goes on
    And an instance that is busy at 103.5 s ends

  Scenario: A shutdown whose time may be used up ends at once
    Guards against requests that are taken while the process may be killed.
    Given a shutdown of 6 s that was requested at 100 s
    And its signal may have waited for 5.5 s before
    Then a request that arrives at 100.0 s is rejected
    And an instance that is busy at 100.0 s ends
