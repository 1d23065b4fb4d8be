Feature: Failing workers, failing jobs and wrong sizes are distinguished

  Scenario: A worker that fails every job is quarantined and no job is failed
    Given a quarantine tracker for 5 failures
    When 5 different jobs fail on worker w1
    Then worker w1 is in quarantine and no job is failed

  Scenario: A job that fails everywhere is failed and no worker is quarantined
    Given a quarantine tracker for 5 failures
    When 10 bad jobs fail on 3 workers each
    Then the bad jobs are failed and no worker is in quarantine

  Scenario: Probes back off exponentially and one success ends the quarantine
    Given a quarantine tracker for 5 failures
    When 5 different jobs fail on worker w1
    Then failed probes of w1 double the delay up to 64 times the first
    And late failures of older tasks do not delay the probe of w1
    And a successful probe ends the quarantine of w1

  Scenario: A success between failures keeps a worker out of quarantine
    Given a quarantine tracker for 5 failures
    When failures of 4 jobs alternate with a success on worker w1
    Then worker w1 is not in quarantine

  Scenario: Retries stay within the budget during an outage
    Given a retry budget of 10 percent and 3 attempts
    When 10000 tasks of a team all fail
    Then at most 1010 retries of the team are allowed
    And no task is allowed a fourth attempt

  Scenario: Retry delays have full jitter below a doubling bound
    Then retry delays cover the range from 0 to the doubling bound

  Scenario: A task over its size is throttled, then checkpointed, then stopped
    Given a task that declared 1000 millicores and uses 3000
    Then late reports of an overcommitted worker lead to throttle, checkpoint, stop

  Scenario: No action follows one high report or a worker with spare capacity
    Then a single high report or a worker with spare capacity leads to no action

  Scenario: Corrected sizes never fall below the declared or the used memory
    Then corrected sizes cover declared sizes and used memory for any reports

  Scenario: Urgent work preempts the cheapest tasks of teams above their share
    Then the chosen victims free enough, are allowed and form a minimal set

  Scenario: A team within its share is preempted only if no other team suffices
    Given a cheap victim of a team within its share and a costly one of a team above
    Then the costly victim of the team above its share is chosen
    And without it the cheap victim is chosen
