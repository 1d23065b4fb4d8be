Feature: No workspace uses more than its upper limit

  Workers add up what really runs of a workspace, on all workers, at each start.

  Scenario: Runs on a silent worker whose capacity has shrunk count in full
    Guards against a bound on unknown runs that follows a capacity below what
    runs already (QUOTA).
    Given a cell with 2 workers and 2 instances
    And the workspace may use 4000 millicores
    When a job of 4 tasks with 1000 millicores each has begun on one worker
    And that worker falls silent and its capacity shrinks to 100 millicores
    And the leader ends and another instance leads
    And another job of 4 tasks with 1000 millicores each is submitted
    Then the other job is completed
    And no start exceeded a limit

  Scenario: Capacity that has grown is stored before it is used
    Guards against a new leader that bounds unknown runs by the capacity with
    which their worker joined (QUOTA).
    Given a cell with 1 workers and 1 instances
    When the capacity of its worker grows to 32000 millicores
    Then the stored roster has 32000 millicores before the worker accepts tasks

  Scenario: Runs that use idle cores only count beyond the capacity
    Guards against a bound on unknown runs by a capacity that does not bound
    their cores (QUOTA).
    Given 30 tasks with 1000 millicores that use idle cores only may run
    When the worker with 16000 millicores that may have them is silent
    Then the unknown usage of their workspace is 30000 millicores

  Scenario: Runs of a step that is not known to have begun count
    Guards against a new leader whose stored progress is older than the starts
    of the former one, so that it counts nothing for the next step (QUOTA).
    Given a cell with 2 workers and 2 instances
    And the workspace may use 4000 millicores
    When the leader stores no progress any more
    And the second step of a job of 4 tasks with 1000 millicores has begun
    And its worker falls silent
    And the leader ends and another instance leads
    And another job of 4 tasks with 1000 millicores each is submitted
    Then the other job is completed
    And no start exceeded a limit

  Scenario: Runs of a job that a leader does not know yet hold back others
    Guards against starts beside runs whose workspace is unknown, as the row of
    their job arrives later than the listing of their worker (QUOTA).
    Given a cell with 2 workers and 2 instances
    And the workspace may use 4000 millicores
    And a worker lists 4 runs with 1000 millicores of a job that is unknown
    When another job of 4 tasks with 1000 millicores each is submitted
    Then the other job is completed
    And no start exceeded a limit

  Scenario: A start is not repeated after the limit has been lowered
    Guards against commands that a worker carries out seconds after the limit
    was lowered, although the leader knows the new one (QUOTA).
    Given a cell with 1 workers and 1 instances
    And the workspace may use 8000 millicores
    When a job of 4 tasks with 1000 millicores each has begun on one worker
    And the next 24 starts are lost
    And another job of 4 tasks with 1000 millicores each is submitted
    And the limit of the workspace is lowered to 3000 millicores
    Then the other job is completed
    And no start exceeded a limit

  Scenario Outline: Nothing starts under a limit that may have been lowered
    Guards against a leader that goes on with the former limit, or with none,
    since it alone does not get the new configuration (QUOTA).
    Given a cell with 1 workers and 1 instances in which a change may take 4000 ms
    And the workspace may use <former> millicores
    When the configuration is withheld from the instances
    And the limit of the workspace is lowered to 2000 millicores
    And 2700 ms pass
    And another job of 8 tasks with 1000 millicores each is submitted
    Then no start exceeded a limit within 1500 ms
    When the configuration is no longer withheld
    Then the other job is completed
    And no start exceeded a limit

    Examples:
      | former |
      | 8000   |
      | 0      |

  Scenario: Tasks start while the store answers no call
    Guards against a leader that starts nothing during an outage of the store,
    in which no limit can change.
    Given a cell with 1 workers and 1 instances
    And the workspace may use 1000 millicores
    When another job of 12 tasks with 1000 millicores each is submitted
    And the store is silent for 5 s
    Then tasks of the other job have started more than 3 s after the outage began
    And no start exceeded a limit

  Scenario: A gang that exceeds the limit by one member is not given up
    Guards against a start that is given up although it is allowed, since other
    members have begun already.
    Given a cell with 1 workers and 1 instances
    And the workspace may use 2500 millicores
    When the next 1 starts are lost
    And a gang of 3 tasks with 1000 millicores each is submitted
    Then the other job is completed
    And each of its tasks has begun once
