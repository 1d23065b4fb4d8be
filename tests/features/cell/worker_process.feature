Feature: Commands and answers belong to one process of a worker

  Scenario Outline: Only two known processes are told apart
    Guards against a crash that is counted, or a task that is started a second
    time, as a process whose start is not known is taken for another one.
    Then the process born at <first> is <verdict> the one born at <second>

    Examples:
      | first | second | verdict             |
      | 1000  | 1000   | not told apart from |
      | 1000  | 1001   | another than        |
      | 1001  | 1000   | another than        |
      | 0     | 1000   | not told apart from |
      | 1000  | 0      | not told apart from |
      | 0     | 0      | not told apart from |

  Scenario Outline: A recorded start on process <recorded> is <handling>, while <answering> answers
    Guards against a second run of a task, as its start was recorded without the
    process and the worker is taken for a restarted one.
    Given a worker whose process born at <answering> answers
    When a start that is recorded for its process born at <recorded> is restored
    Then the run is <handling>

    Examples:
      | recorded | answering | handling  |
      | 1000     | 1000      | restored  |
      | 1000     | 2000      | crashed   |
      | 0        | 2000      | restored  |
      | 1000     | 0         | restored  |

  Scenario Outline: Renewals of a replaced worker, its connections <fate>, kind "<kind>" next
    Guards against a lease, or an acknowledgement of ended runs, that reaches the
    next process of a worker: that one has another clock and counts its ends anew,
    so an end that it still has to report would be discarded.
    Given a cell with 1 workers and 1 instances
    And the clock of the worker is 1000 s ahead
    When 3 jobs have been completed one after another
    And the worker that runs a task is replaced by one of kind "<kind>", its connections <fate>
    Then the next process runs another job
    And no lease that the next process was asked for exceeds 6 s
    And no end was acknowledged before it was listed
    And no task ran in two places

    Examples:
      | fate     | kind |
      | closed   | a    |
      | closed   | b    |
      | reset    | a    |
      | reset    | b    |
      | silenced | a    |
      | silenced | b    |
