Feature: The capacity of a worker may change while it runs

  Scenario: No start exceeds a capacity that has shrunk
    Guards against starts beyond the capacity that a worker registers (LIMIT).
    Given a cell with 1 workers and 1 instances
    When a job of 8 tasks with 1 core for 1500 ms each is running
    And the capacity of the first worker changes to 4 cores
    And another job of 16 tasks with 1 core for 50 ms each is submitted
    Then every instance shows the job as "completed"
    And the other job is completed
    And no start exceeded a capacity
    And each running task was started once

  Scenario: No start exceeds a shrunk capacity after a takeover
    Guards against a new leader that uses the capacity of the stored roster.
    Given a cell with 1 workers and 2 instances
    When a job of 8 tasks with 1 core for 4000 ms each is running
    And the capacity of the first worker changes to 4 cores
    And the leader ends while registrations cannot be read
    And another job of 16 tasks with 1 core for 50 ms each is submitted
    And the store answers registrations again after 500 ms
    Then every instance shows the job as "completed"
    And the other job is completed
    And no start exceeded a capacity
    And each running task was started once

  Scenario: Grown capacity is used
    Guards against tasks that wait while their worker has capacity again.
    Given a cell with 1 workers and 1 instances
    When the capacity of the first worker changes to 1 cores
    And another job of 4 tasks with 4 core for 300 ms each is submitted
    Then no task starts in 500 ms
    When the capacity of the first worker changes to 16 cores
    Then the other job is completed
    And 4 tasks ran at the same time
    And no start exceeded a capacity

  Scenario: A gang starts only within a shrunk capacity
    Guards against a reservation from before the capacity shrank.
    Given a cell with 2 workers and 1 instances
    When a job of 20 tasks with 1 core for 1000 ms each is running
    And another gang of 16 tasks with 1 core for 50 ms each is submitted
    And the capacity of the first worker changes to 8 cores
    Then every instance shows the job as "completed"
    And the other job is completed
    And no start exceeded a capacity

  Scenario: A start that got no answer is withdrawn when the capacity shrinks
    Guards against a repeated start that exceeds the capacity of its worker.
    Given a cell with 2 workers and 1 instances
    And the first worker loses the next 3 starts
    When another job of 1 tasks with 8 core for 50 ms each is submitted
    And the capacity of the first worker changes to 4 cores
    Then the other job is completed
    And no start exceeded a capacity

  Scenario Outline: No start exceeds memory or accelerators that have shrunk
    Guards against a capacity of which only the cores are followed.
    Given a cell with 1 workers and 1 instances
    When the first worker changes to 8 accelerators
    And a job of 8 tasks with 100 MiB and 1 accelerators for 1500 ms each is running
    And the first worker changes to <amount>
    And another job of 16 tasks with 100 MiB and <each> accelerators for 50 ms each is submitted
    Then every instance shows the job as "completed"
    And the other job is completed
    And no start exceeded a capacity
    And each running task was started once

    Examples:
      | amount            | each |
      | 4 accelerators    | 1    |
      | 4 accelerators    | 0    |
      | 400 MiB of memory | 0    |

  Scenario Outline: Tasks that use only idle cores wait while a capacity is exceeded
    Guards against tasks whose cores do not count and that start all the same.
    Given a cell with 1 workers and 1 instances
    When a job of 8 tasks with 100 MiB and 0 accelerators for 1500 ms each is running
    And <change>
    And another job of 16 tasks that use only idle cores and 100 MiB for 50 ms each is submitted
    Then every instance shows the job as "completed"
    And the other job is completed
    And no start exceeded a capacity

    Examples:
      | change                                              |
      | the capacity of the first worker changes to 4 cores |
      | the first worker changes to 400 MiB of memory       |

  Scenario: No start exceeds a capacity that shrinks and grows in series
    Guards against the use of a capacity between two changes.
    Given a cell with 1 workers and 1 instances
    And a capacity that has shrunk counts 1000 ms later
    When a job of 8 tasks with 1 core for 1500 ms each is running
    And another job of 40 tasks with 1 core for 200 ms each is submitted
    And the capacity of the first worker changes to 10 cores
    And the capacity of the first worker changes to 6 cores
    And the capacity of the first worker changes to 9 cores
    And the capacity of the first worker changes to 2 cores
    Then every instance shows the job as "completed"
    And no start exceeded a capacity
    When the capacity of the first worker changes to 16 cores
    Then the other job is completed
    And no start exceeded a capacity

  Scenario: A gang waits for capacity that grows again after a takeover
    Guards against a gang that waits on the capacity of the former leader.
    Given a cell with 2 workers and 2 instances
    When the capacity of the first worker changes to 2 cores
    And another gang of 20 tasks with 1 core for 50 ms each is submitted
    Then no task starts in 500 ms
    When the leader ends
    And the capacity of the first worker changes to 16 cores at the next leader
    Then the other job is completed
    And no start exceeded a capacity

  Scenario: A recorded start is withdrawn when the capacity shrinks
    Guards against a start that exceeds a capacity which shrinks while the start
    of a task that may crash its worker is stored.
    Given a cell with 1 workers and 1 instances
    And crashed workers come back as the same worker after 100 ms
    When a job with the payload "ms=900 cpu=1000" is submitted and has begun
    And the worker that runs it crashes
    And its next start is stored while the capacity shrinks for 1000 ms
    Then every instance shows the job as "completed"
    And no start exceeded a capacity

  Scenario: Accelerators and memory of tasks that use idle cores count
    Guards against several such tasks on one worker with one accelerator (LIMIT,
    review case 10).
    Given a cell with 2 workers and 1 instances whose workers have 1 accelerator
    When 4 jobs of a task that uses idle cores and 1 accelerator are submitted
    Then each of the 4 jobs is completed
    And no worker ran more than 1 of them at the same time

  Scenario: Runs, plans and reservations take the same of a worker
    Guards against a start beyond the capacity of a worker, as one of them counts
    a resource of a step that the other leaves out (LIMIT).
    Then runs, plans and reservations of random steps agree with the protocol

  Scenario: A plan of random tasks and gangs exceeds no capacity
    Guards against a plan that brings a worker over its capacity (LIMIT).
    Then random plans exceed no capacity
