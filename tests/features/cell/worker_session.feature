Feature: The session of a worker ends with the leadership

  Scenario: A closed session renews no lease
    Guards against a former leader that keeps the runs of a worker alive after
    the new leader has started them elsewhere: the cancellation of the session
    arrives in the moment in which the ends of runs are stored.
    Given a session that waits until the end of a run is stored
    When the end is stored and the session is cancelled at the same moment
    Then the session ends without a further renewal

  Scenario Outline: Workers without runs are renewed less often in a large cell
    Guards against a leader of thousands of workers whose processor is busy with
    renewals of workers that run nothing (sweep at 300 instances).
    Then a worker without runs among <workers> is renewed <pause> s after an answer

    Examples:
      | workers | pause |
      | 24      | 0     |
      | 600     | 0     |
      | 1000    | 1     |
      | 3000    | 3.5   |
      | 19000   | 3.5   |

  Scenario Outline: The pause of a worker without runs ends when <event>
    Guards against an end of a run, or of a worker, that is noticed only after
    the pause between two renewals.
    Given a session with a worker without runs in a large cell
    Then it renews the lease at most 3 times in 0.5 s
    When <event>
    Then it renews the lease again within 1 s

    Examples:
      | event                            |
      | a run is started on the worker   |
      | the worker closes the connection |
