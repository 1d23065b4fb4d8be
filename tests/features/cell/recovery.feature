Feature: A new leader restores a large state over a thin link

  Scenario: A recovery over a thin link ends in the first election
    Guards against a leader that gives up all it has read when one read is late
    (trouble-1 --small of quetzal-claims-large: 22 elections in 27 s).
    Given 1200 stored jobs that wait
    And a cell with 1 workers and 1 instances on links of 4 Mbit/s
    Then every stored job is known in epoch 1

  Scenario: A leader that reads a large state keeps its leadership
    Guards against a second election while the first leader still reads.
    Given 1500 stored jobs that wait
    And a cell with 1 workers and 3 instances on links of 4 Mbit/s
    Then every stored job is known in epoch 1

  Scenario: The heartbeat does not wait for the pages of a table
    Guards against a recovery that fills the link so that the heartbeat is late.
    Given 1500 stored jobs that wait
    And a cell with 1 workers and 1 instances on links of 2 Mbit/s
    Then the heartbeat is stored at least every 1000 ms until all are known

  Scenario: Workers keep their leases while a leader recovers
    Guards against running tasks that are killed because their leases lapse
    before the new leader has read the state.
    Given a cell with 1 workers and 2 instances
    When a job with the payload "ms=4000" is submitted and has begun
    And the store answers no page of a table
    And the leader ends
    Then the worker accepts the second fencing token before the recovery ends
    When the store answers pages again
    Then the other instances show the job as "completed"
    And each of its tasks was started once

  Scenario: An end that is listed during a recovery is not lost
    Guards against acknowledging an ended run whose job is not known yet.
    Given a cell with 1 workers and 2 instances
    When a job with the payload "ms=600" is submitted and has begun
    And the store answers no page of a table
    And the leader ends
    Then the worker accepts the second fencing token before the recovery ends
    When the store answers pages again after 1 s
    Then the other instances show the job as "completed"
    And each of its tasks was started once

  Scenario: A leader that cannot read the state gives way to another one
    Guards against a cell whose leader has a heartbeat but never schedules.
    Given a cell with 1 workers and 3 instances
    When the leader and its successor can read no page of a table
    And the leader ends
    Then the instance that can read pages becomes the leader

  Scenario: A leader that stops during its recovery leaves fencing to the next
    Guards against a release that says that all workers have accepted the
    fencing token although no worker was known yet.
    Given a cell with 1 workers and 2 instances
    When the store answers no page of a table
    And the leader ends
    And the next leader is asked to stop while it recovers
    Then its release does not say that it was obeyed
