Feature: Jobs run once on workers and callers see their true state

  Scenario: A job is accepted, run and shown as completed on every instance
    Guards against instances that do not show what the leader knows.
    Given a cell with 2 workers and 3 instances
    When a job of 3 tasks is submitted
    Then every instance shows the job as "completed"
    And each of its tasks was started once

  Scenario: A repeated submission creates one job
    Guards against a client's retry that runs its job twice.
    Given a cell with 1 workers and 2 instances
    When the same job is submitted 3 times on different instances
    Then every submission is answered with 200
    And every instance shows the job as "completed"
    And each of its tasks was started once

  Scenario: Invalid requests are answered with their status
    Guards against jobs that are accepted for unknown keys or queues.
    Given a cell with 1 workers and 1 instances
    Then a submission with an unknown key is answered with 401
    And a submission to an unknown queue is answered with 404
    And a malformed job is answered with 400
    And the state of an unknown job is answered with 410
    And no task was started

  Scenario: Identifiers and deadlines are parsed as the platform sends them
    Guards against refusing upper-case hexadecimal digits, and against a
    deadline that is not a number of milliseconds, with which a caller would
    wait forever.
    Given a cell with 1 workers and 1 instances
    Then a job with the id "00000000000000AF" is accepted
    And a submission with the deadline "nan" is answered with 400
    And a submission with the deadline "-5" is answered with 400
    And a submission with the deadline "soon" is answered with 400

  Scenario: A cancelled job stops
    Guards against tasks that continue after their job was cancelled.
    Given a cell with 1 workers and 1 instances
    When a job with the payload "ms=20000" is submitted and has begun
    And the job is cancelled
    Then every instance shows the job as "cancelled"
    And nothing runs

  Scenario: A job whose tasks fail is shown as failed after all its attempts
    Guards against endless attempts and against too few.
    Given a cell with 2 workers and 1 instances
    When a job with the payload "ms=20 fail" is submitted
    Then every instance shows the job as "failed"
    And its task was started 2 times

  Scenario: A withdrawn key stops working, also while the store is unreachable
    Guards against jobs that are accepted for keys whose withdrawal cannot be
    read.
    Given a cell with 1 workers and 1 instances
    When the key is withdrawn
    Then a submission is answered with 401 soon
    When the store is silent for longer than keys stay confirmed
    Then a submission is answered with 503 at once and with a retry time

  Scenario: Keys stay confirmed with a margin while the store answers
    Guards against refusing callers while nothing fails (quiet-1 of
    quetzal-claims).
    Given a cell with 1 workers and 1 instances
    When every answer of the store takes 40 ms
    Then the configuration is never older than 2500 ms in 5 s

  Scenario: A refused submission does not run
    Guards against refusing a job that is stored nevertheless.
    Given a cell with 1 workers and 1 instances
    When the store refuses every call
    Then a submission is answered with 503 at once and with a retry time
    When the store answers again
    Then no task was started

  Scenario: Callers do not wait for a silent store
    Guards against requests that wait until their deadline and then end with an
    unknown outcome.
    Given a cell with 1 workers and 1 instances
    When the store is silent for 3 s
    Then a submission is answered with 503 at once and with a retry time

  Scenario: A long-running task is started again however it ends
    Guards against a service that is shown as completed.
    Given a cell with 1 workers and 1 instances
    When a service with the payload "ms=100 lasts" is submitted
    Then its task is started at least 3 times
    And every instance shows the job as "running"
    When the job is cancelled
    Then every instance shows the job as "cancelled"
    And nothing runs

  Scenario: An occurrence starts on time while the cell is busy
    Guards against due occurrences that are opened only when the cell is idle.
    Given a cell with 1 workers and 1 instances
    When a job is submitted that is due in 300 ms and plans are made all the time
    Then its task starts between 300 and 1300 ms after the submission

  Scenario: A caller is told early that the outcome is unknown
    Guards against holding a request until its caller has no time to retry it
    at another instance.
    Given a cell with 1 workers and 2 instances
    When every answer of the store takes 2500 ms
    Then a submission is answered with 504 within half of its deadline
    When the store answers again
    Then the submission is stored and its job is completed once

  Scenario: A submission whose answer from the store is lost is resolved
    Guards against telling the caller that a stored job was refused.
    Given a cell with 1 workers and 1 instances
    When the store loses the answer of the next write
    And a job of 1 tasks is submitted
    Then every instance shows the job as "completed"
    And each of its tasks was started once

  Scenario Outline: The outcome is unknown after an unusable answer
    Guards against telling the caller that a stored job was refused.
    Given a cell with 1 workers and 1 instances
    When the store answers the next job with <answer> and refuses later calls
    Then a submission is answered with 504 within half of its deadline
    When the store answers again
    Then the submission is stored and its job is completed once

    Examples:
      | answer           |
      | status 500       |
      | status 502       |
      | a body cut short |
      | a list           |

  Scenario: Ended jobs are removed from the store after the retention period
    Guards against a store and a process that grow without bound.
    Given a cell with 1 workers and 1 instances that keeps ended jobs for 1 s
    When a job of 2 tasks is submitted
    Then every instance shows the job as "completed"
    And the job is soon removed from the store
    And the state of the job is answered with 410
