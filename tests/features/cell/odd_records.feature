Feature: A stored record that cannot be valid costs only itself

  Scenario Outline: A stored job with <odd> is not decoded
    Guards against a row of another writer that ends each plan or leadership, as its
    error appears only where the field is used (random entries, LOST).
    Then a stored job with <odd> is rejected as "record-invalid"

    Examples:
      | odd                            |
      | a list for its service         |
      | a list for a required label    |
      | a text for a number of cores   |
      | a negative number of cores     |
      | no tasks in a step             |
      | half a task in a step          |
      | no steps                       |
      | an infinite stretch            |
      | a negative priority            |
      | a Boolean for its attempts     |
      | a number for a flag            |
      | a negative prerequisite        |
      | a text for its occurrences     |
      | a number for its payload       |
      | a key that is no identifier    |

  Scenario Outline: A stored worker with <odd> is not decoded
    Guards against a row of the roster that ends the session of its worker, or the
    recovery of each leader.
    Then a stored worker with <odd> is rejected as "record-invalid"

    Examples:
      | odd                         |
      | a name for its address      |
      | a line break in its id      |
      | a number for its zone       |
      | a negative capacity         |
      | a list for a label          |
      | a text for its birth time   |

  Scenario Outline: A stored job <odd> is not run, and the others are
    Guards against a job of another writer that ends each leadership, or that runs
    again under each leader, as it cannot be archived.
    Given a stored job <odd>
    And a cell with 1 workers and 2 instances that restores it
    Then a job completes under the same leader
    And nothing of the stored job was started

    Examples:
      | odd                                       |
      | with a step that depends on itself        |
      | with a step that depends on none          |
      | in the partition of other jobs            |

  Scenario: A stored job whose progress cannot be read is not run again
    Guards against tasks that run a second time under the next leader, which takes
    the job for one that has not begun (TWICE).
    Given a stored job whose progress cannot be restored
    And a cell with 1 workers and 2 instances that restores it
    Then a job completes under the same leader
    When the row of the stored job is written again
    Then a further job completes
    And nothing of the stored job was started
    When the stored job is cancelled
    Then every instance shows the stored job as "cancelled"

  Scenario: A step whose planning fails is planned again after growing pauses
    Guards against a plan that spends its time on a step that always fails, and
    against a list of failed steps without a bound.
    Given a step whose planning fails
    Then it is planned again after 0.25, 0.5, 1 and 2 s
    And after 20 failures it is planned again after 60 s
    And nothing of it stays in the plan
    When it waits no more
    Then it is forgotten

  Scenario: The task of a worker whose stored row cannot be read goes on
    Guards against a second run of the task (TWICE), as the next leader does not
    know that it has to wait for the worker.
    Given a cell with 2 workers and 2 instances
    When a job with the payload "ms=1500" is submitted and has begun
    And the stored row of its worker cannot be read any more
    And the leader ends
    Then another instance is the leader
    And the other instances show the job as "completed"
    And each of its tasks was started once

  Scenario: A worker whose stored row cannot be read and that does not answer
    Guards against a second run of its task (TWICE) before its lease has ended.
    Given a cell with 2 workers and 2 instances
    When a job with the payload "ms=60000" is submitted and has begun
    And the stored row of its worker cannot be read any more
    And its worker does not answer later leaders
    And the leader ends
    Then another instance is the leader
    And its task is started on the other worker
    And no task ran in two places

  Scenario Outline: A row of another writer in the roster, <content>, is removed
    Guards against a row that delays the tasks of each later leader.
    Given a cell with 1 workers and 2 instances
    When the roster has a row with <content>
    And the leader is asked to stop
    Then another instance is the leader
    And a new job of 1 tasks completes on the other instances
    And the row is removed within 8 s
    And the roster has the worker

    Examples:
      | content              |
      | no fields            |
      | another worker's row |
