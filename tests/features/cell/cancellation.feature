Feature: A cancelled job does not run, whatever became of its submission

  Scenario: A job whose submission is written late does not run once it is cancelled
    Guards against a job that starts seconds after its cancellation was
    acknowledged: its submission got no answer from the store, which performed the
    write later (review case 14, UNASKED).
    Given a cell with 1 workers and 2 instances
    When the store performs the next 20 writes of jobs 3 s late, without an answer
    Then a submission is answered with 504 within half of its deadline
    And a cancellation at another instance is answered with 410 and "job-gone"
    When the late writes have been performed
    Then no task was started
    And every instance answers a query of the job with 410

  Scenario: A submission in progress is refused once its job is cancelled
    Guards against an instance that repeats the write of a submission, or takes the
    row of the cancellation for the stored job.
    Given a cell with 1 workers and 2 instances
    When the store performs the next 1 writes of jobs 3 s late, without an answer
    And a submission and a cancellation at another instance overlap
    Then the cancellation was answered with 410 and "job-gone"
    And the submission was answered with 410 and "job-cancelled"
    When the late writes have been performed
    Then no task was started

  Scenario: A job that was never stored stays unknown after its cancellation
    Guards against a job that nobody submitted and that is shown as cancelled, and
    against a late repetition of its submission that runs.
    Given a cell with 1 workers and 2 instances
    Then a cancellation at another instance is answered with 410 and "job-gone"
    And a cancellation at another instance is answered with 410 and "job-gone"
    And every instance answers a query of the job with 410
    And a repeated submission is answered with 410 and "job-cancelled"
    And no task was started

  Scenario: A job that is stored during its cancellation is cancelled
    Guards against a cancellation that is acknowledged as if there were no job: its
    submission was performed between the read and the write of the cancellation.
    Given a submission that is performed when its cancellation is written
    When the job is cancelled in the store
    Then the cancellation succeeds
    And the stored job is cancelled

  Scenario Outline: A cancellation whose write gets no answer is repeated
    Guards against acknowledging a cancellation that did not take effect.
    Given a store that will <fault> the next write
    When the job is cancelled in the store
    Then the cancellation fails with "job-gone"
    And the store has a tombstone of the job
    And a write of its submission is refused

    Examples:
      | fault |
      | lose  |
      | hold  |

  Scenario: A late tombstone does not harm a job that was stored meanwhile
    Guards against a tombstone that is performed seconds late and hides or removes
    a job whose submission was accepted after the cancellation had failed.
    Given a store that will hold the next 1000 writes
    When the job is cancelled in the store
    Then the cancellation fails with "store-unknown"
    When the job is stored, and the held writes are performed
    Then the stored job is not cancelled
    And the store has no tombstone of the job

  Scenario: The tombstones of an instance are limited, whatever the rate
    Guards against callers that fill the store by cancelling identifiers of which
    no job was ever stored.
    Given a cancellation service that starts now
    When 50 unknown jobs are cancelled each second for 240 s
    Then at most 340 tombstones were written
    And the other cancellations failed with "tombstone-limit"

  Scenario Outline: A tombstone is kept longer than a write can be late
    Guards against a submission that is written after the tombstone of its job was
    removed, where callers need the state of ended jobs only for a short time.
    Then <row> is kept for <kept> s if the retention period is <retention> s

    Examples:
      | row             | retention | kept |
      | a tombstone     | 120       | 120  |
      | a tombstone     | 2         | 30   |
      | an archived job | 120       | 120  |
      | an archived job | 2         | 2    |
