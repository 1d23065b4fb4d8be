Feature: Jobs are never lost and never run twice

  Scenario: The coordinator dies while a job runs
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a job of 8 tasks runs
    When "e1" dies
    And 20 s pass and every running task finishes
    Then the job is "finished" and each of its 8 tasks started once

  Scenario: A coordinator that resumes with an old term starts no task twice
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a job of 8 tasks runs
    When "e1" is paused for 20 s and resumed
    And 20 s pass and every running task finishes
    Then the job is "finished" and no invariant was broken

  Scenario: An instance dies with holdings and running tasks
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a job of 12 tasks runs
    When "e3" dies
    And another job of 12 tasks is submitted to "e2"
    Then after 15 s at most 12 tasks run and no invariant was broken
    When every task that runs finishes until nothing waits
    Then both jobs are "finished"

  Scenario: The tasks of a lost worker run again elsewhere
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a job of 8 tasks runs
    When a worker that runs tasks dies
    Then its tasks do not start again before the worker's lease has expired
    And within 30 s all 8 tasks run again on other workers

  Scenario: A non-idempotent job is not repeated after its worker is lost
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a non-idempotent job of 2 tasks runs
    When a worker that runs tasks dies
    Then within 30 s the job is "failed" and each of its 2 tasks started once

  Scenario: A non-idempotent job continues after its coordinator dies
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a non-idempotent job of 20 tasks of which 12 run
    When "e1" dies
    And 20 s pass and every running task finishes
    And 20 s pass and every running task finishes
    Then the job is "finished" and each of its 20 tasks started once

  Scenario: A non-idempotent job waits for an instance that was only paused
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 16
    When a non-idempotent job of 16 tasks is submitted and "e2, e3" are paused before they start any
    And "e2, e3" are resumed after 20 s
    And 10 s pass and every running task finishes
    And 5 s pass and every running task finishes
    Then the job is "finished" and each of its 16 tasks started once

  Scenario: A non-idempotent job that was refused survives its coordinator
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And all instances refuse job tasks
    When a non-idempotent job of 4 tasks is submitted and "e1" dies 4 s later
    And the instances accept job tasks again after 15 s
    And 5 s pass and every running task finishes
    Then the job is "finished" and each of its 4 tasks started once

  Scenario: Jobs are refused while the store is down and finish afterwards
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a job of 4 tasks runs
    When the store goes down
    Then a new job is refused with "store-unavailable" and did not run
    And the job finishes when its tasks have ended and the store is back

  Scenario: A job whose tasks fail on three workers fails
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a job of 8 tasks runs
    When every running task fails for 60 s
    Then the job is "failed" within 30 s

  Scenario: Thousands of jobs are cancelled at once
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And 2000 jobs of group "night" are submitted and some run
    When the group "night" is cancelled at "e3"
    Then all jobs of the group are closed as "cancelled" within 10 s
    And a cancelled job starts no more tasks

  Scenario: A cancelled job survives the coordinator that accepted the cancellation
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a job of 8 tasks runs
    When the job is cancelled at "e2" and "e1" dies at once
    Then the job is "cancelled" within 30 s

  Scenario: An impossible job is refused
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    Then a job whose tasks need 9 slots is refused with "job-impossible"
    And a gang of 17 tasks is refused with "job-impossible"

  Scenario: A job becomes impossible when its workers are removed for good
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a worker of 9 slots is added and a job of 9-slot tasks runs there
    When that worker is removed from the platform
    Then the job is "impossible" within 90 s

  Scenario: A gang gets capacity although small tasks keep arriving
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 16
    And a job of 400 tasks runs that ends some task in every second
    When a gang of 12 tasks is submitted to "e2"
    Then within 90 s all 12 tasks of the gang run at once

  Scenario: A gang runs as a whole
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    When a gang of 10 tasks is submitted to "e2"
    Then within 5 s all 10 tasks of the gang run

  Scenario: A gang that does not fit on every instance starts nothing
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 16
    And "e3" refuses reservations
    When a gang of 16 tasks is submitted to "e2"
    Then for 10 s no task of the gang runs and no reservation stays behind

  Scenario: The owner of a reservation dies between reserve and start
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 16
    When a gang of 16 tasks is submitted to "e2" and "e3" dies after its reservation
    Then within 60 s all 16 tasks of the gang run
    And no invariant was broken

  Scenario: A store read that is older than the closing of a job does not reopen it
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a job of 2 tasks runs
    When the job finishes while a slow read of all jobs still contains it
    Then each of its 2 tasks started once and the job stays "finished"

  Scenario: An expired reservation releases its capacity
    Then a reservation that is not committed in time is released and starts nothing

  Scenario: Random faults break no invariant
    Then no sequence of faults loses a job or breaks an invariant
