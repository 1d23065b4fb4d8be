Feature: Jobs of callers run once on workers and are shown truly

  Scenario: A job is accepted, run and shown as completed on every instance
    Guards against instances that do not know what the elected one knows.
    Given a cell with 2 workers and 3 instances
    When a job of 3 tasks is submitted
    Then every instance shows the job as "completed"
    And each of its tasks was started once

  Scenario: A repeated submission stays one job
    Guards against a client's retry that runs its job twice.
    Given a cell with 1 workers and 2 instances
    When the same job is submitted 3 times on different instances
    Then every submission is answered with 200
    And every instance shows the job as "completed"
    And each of its tasks was started once

  Scenario: Requests that are not allowed get their status
    Guards against work for unknown keys and unknown queues.
    Given a cell with 1 workers and 1 instances
    Then a submission with an unknown key is answered with 401
    And a submission to an unknown queue is answered with 404
    And a malformed job is answered with 400
    And the state of an unknown job is answered with 410
    And no task was started

  Scenario: Identifiers and deadlines are read as the platform writes them
    Guards against refusing capital digits, and against a deadline that is no
    number of milliseconds and holds a caller for ever.
    Given a cell with 1 workers and 1 instances
    Then a job named "00000000000000AF" is accepted
    And a submission with the deadline "nan" is answered with 400
    And a submission with the deadline "-5" is answered with 400
    And a submission with the deadline "soon" is answered with 400

  Scenario: A cancelled job stops
    Guards against tasks that run on after their job was cancelled.
    Given a cell with 1 workers and 1 instances
    When a job with the payload "ms=20000" is submitted and has begun
    And the job is cancelled
    Then every instance shows the job as "cancelled"
    And nothing runs

  Scenario: A job whose tasks fail is shown as failed after its attempts
    Guards against endless attempts and against too few.
    Given a cell with 2 workers and 1 instances
    When a job with the payload "ms=20 fail" is submitted
    Then every instance shows the job as "failed"
    And its task was started 2 times

  Scenario: A withdrawn key stops working, also while the store is away
    Guards against work for keys whose withdrawal cannot be seen.
    Given a cell with 1 workers and 1 instances
    When the key is withdrawn
    Then a submission is answered with 401 soon
    When the store is silent for longer than keys stay confirmed
    Then a submission is answered with 503 at once and says when to come back

  Scenario: Keys stay confirmed with time to spare while the store answers
    Guards against refusing callers on a calm day (quiet-1 of quetzal-claims).
    Given a cell with 1 workers and 1 instances
    When every answer of the store takes 40 ms
    Then the configuration is never older than 2500 ms in 5 s

  Scenario: A refused submission has not run
    Guards against a refusal of a job that is stored all the same.
    Given a cell with 1 workers and 1 instances
    When the store refuses every call
    Then a submission is answered with 503 at once and says when to come back
    When the store serves again
    Then no task was started

  Scenario: A silent store does not hold callers
    Guards against requests that are held to their deadline and then open.
    Given a cell with 1 workers and 1 instances
    When the store is silent for 3 s
    Then a submission is answered with 503 at once and says when to come back

  Scenario: A service is started again however its task ends
    Guards against a service that counts as completed.
    Given a cell with 1 workers and 1 instances
    When a service with the payload "ms=100 lasts" is submitted
    Then its task is started at least 3 times
    And every instance shows the job as "running"
    When the job is cancelled
    Then every instance shows the job as "cancelled"
    And nothing runs

  Scenario: An occurrence starts at its time while the cell is busy
    Guards against timed work that waits until nothing else happens.
    Given a cell with 1 workers and 1 instances
    When a job is submitted that is due in 300 ms and plans are made all the time
    Then its task starts between 300 and 1300 ms after the submission

  Scenario: A caller is told early that the outcome is open
    Guards against holding a request until its caller has no time to repeat it
    at another instance.
    Given a cell with 1 workers and 2 instances
    When every answer of the store takes 2500 ms
    Then a submission is answered with 504 within half of its deadline
    When the store serves again
    Then the submission is stored and its job is completed once

  Scenario: A submission whose answer from the store is lost is settled
    Guards against telling the caller that a stored job was refused.
    Given a cell with 1 workers and 1 instances
    When the store loses the answer of the next write
    And a job of 1 tasks is submitted
    Then every instance shows the job as "completed"
    And each of its tasks was started once

  Scenario: Ended jobs are removed from the store after a while
    Guards against a store and a memory that grow for ever.
    Given a cell with 1 workers and 1 instances that keeps ended jobs for 1 s
    When a job of 2 tasks is submitted
    Then every instance shows the job as "completed"
    And the store forgets the job soon
    And the state of the job is answered with 410
