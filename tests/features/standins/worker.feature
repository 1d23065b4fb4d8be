Feature: The worker stand-in follows the worker interface

  Guards against a stand-in that does not detect faults of the scheduler, which
  would invalidate every test that uses it.

  Background:
    Given a stand-in worker with 2 slots and a task grace of 300 ms

  Scenario: A lease has one owner and a new owner gets a higher epoch
    When stand-in owner "e1" takes the lease for 60000 ms
    Then stand-in owner "e2" is refused the lease that "e1" holds
    And stand-in owner "e1" renews the lease with the same epoch
    When stand-in owner "e1" releases the lease
    And stand-in owner "e2" takes the lease for 60000 ms
    Then the stand-in lease epoch is 2

  Scenario: An owner without its epoch gets a new one and the inventory
    When stand-in owner "e1" takes the lease for 60000 ms
    And stand-in job task "t1" is started
    And stand-in owner "e1" takes the lease for 60000 ms
    Then the stand-in lease epoch is 2
    And the stand-in inventory is "t1"

  Scenario Outline: A start that must not run is refused
    When stand-in owner "e1" takes the lease for 60000 ms
    And the stand-in start is prepared as "<case>"
    Then the stand-in start of "t1" is refused as "<code>"
    And the stand-in records contain no start of "t1" after that

    Examples:
      | case           | code        |
      | old epoch      | stale-epoch |
      | past deadline  | expired     |
      | tombstone      | stopped     |
      | running        | duplicate   |
      | ended          | duplicate   |
      | leaving        | leaving     |
      | full           | busy        |

  Scenario: A start that would overcommit is recorded as a violation
    When stand-in owner "e1" takes the lease for 60000 ms
    And the stand-in start is prepared as "full"
    Then the stand-in start of "t1" is refused as "busy"
    And the stand-in records contain the violation "overcommit" of "t1"

  Scenario: A start is refused once the lease has lapsed
    When stand-in owner "e1" takes the lease for 0 ms
    Then the stand-in start of "t1" is refused as "expired"

  Scenario: Job tasks end when the lease has lapsed for the task grace
    When stand-in owner "e1" takes the lease for 2000 ms
    And stand-in job task "t1" is started
    Then the stand-in reports "t1" as "lapsed" to a long poll
    And the stand-in ran "t1" for at least 300 ms

  Scenario: A request gets a response with its own token and size
    When stand-in owner "e1" takes the lease for 60000 ms
    Then the stand-in responds to request "t1" with token "abc" and 5000 bytes

  Scenario: A killed worker loses its tasks and gets a new incarnation
    When stand-in owner "e1" takes the lease for 60000 ms
    And stand-in job task "t1" is started
    And the stand-in worker is killed
    Then the stand-in worker is unreachable
    When the stand-in worker is restarted
    And stand-in owner "e1" takes the lease for 60000 ms
    Then the stand-in lease epoch is 2
    And the stand-in inventory is ""
    And the stand-in incarnation is new
    And the stand-in records contain the end of "t1" as "killed"

  Scenario: A worker that fails all tasks reports a job task as failed
    When stand-in owner "e1" takes the lease for 60000 ms
    And the stand-in worker fails all tasks
    And stand-in job task "t1" is started
    Then the stand-in reports "t1" as "failed" to a long poll

  Scenario: A checkpointed task frees its slot
    When stand-in owner "e1" takes the lease for 60000 ms
    And stand-in job task "t1" is started
    And stand-in job task "t2" is started
    Then the stand-in answers "checkpoint" of "t1" with "checkpointed"
    And the stand-in answers "throttle" of "t2" with "running"
    And the stand-in answers "stop" of "t3" with "never-started"
    When stand-in job task "t4" is started
    Then the stand-in records contain the end of "t1" as "checkpointed"
