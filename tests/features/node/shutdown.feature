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
