Feature: Tasks start on workers that are not slow

  Scenario: A worker that has become slow gets no task while others have room
    Guards against tasks that start on a slow worker because it is the fullest.
    Given 4 usual workers, of which "w0" has the fewest free cores
    And the runs of a step take 4 s
    When a task of 4 s is planned
    Then it starts on "w0"
    When 2 runs on "w0" take 16 s each and the others 4 s
    And a task of 4 s is planned
    Then it starts on another worker than "w0"

  Scenario: A single slow run does not make a worker slow
    Guards against workers that are avoided for one run with a long time.
    Given 4 usual workers, of which "w0" has the fewest free cores
    And the runs of a step take 4 s
    When 1 runs on "w0" take 28 s each and the others 4 s
    And a task of 4 s is planned
    Then it starts on "w0"

  Scenario: A slow worker is tried again after some seconds
    Guards against a worker that is never used again after it has recovered.
    Given 4 usual workers, of which "w0" has the fewest free cores
    And the runs of a step take 4 s
    When 2 runs on "w0" take 16 s each and the others 4 s
    And a task of 4 s is planned 20 s later
    Then it starts on "w0"

  Scenario: A worker that is fast again is used again
    Guards against a worker that is avoided after it has shown that it is fast.
    Given 4 usual workers, of which "w0" has the fewest free cores
    And the runs of a step take 4 s
    When 2 runs on "w0" take 16 s each and the others 4 s
    And 2 runs on "w0" take 4 s each and the others 4 s
    And a task of 4 s is planned
    Then it starts on "w0"

  Scenario: A slow worker is used when no other one has room
    Guards against work that waits although a worker is free.
    Given 4 usual workers, of which "w0" has the fewest free cores
    And the runs of a step take 4 s
    When 3 runs on "w0" take 16 s each and the others 4 s
    And the other workers are full
    And a task of 4 s is planned
    Then it starts on "w0"

  Scenario: A worker on which the task has failed is worse than a slow one
    Guards against a task that fails again on the same worker.
    Given 4 usual workers, of which "w0" has the fewest free cores
    And the runs of a step take 4 s
    When 3 runs on "w0" take 40 s each and the others 4 s
    And the task avoids all other workers
    And a task of 4 s is planned
    Then it starts on "w0"

  Scenario: A class of runs that has become slower makes no worker slow
    Guards against workers that are blamed for a change of the work.
    Given 4 usual workers, of which "w0" has the fewest free cores
    And the runs of a step take 4 s
    When 3 runs on every worker take 12 s each
    Then at most 1 workers count as slow
    When 10 runs on every worker take 12 s each
    Then at most 0 workers count as slow

  Scenario: Runs that are hardly predictable make no worker slow
    Guards against placement that follows the noise of the measured times.
    Given 200 workers whose runs have a log error of 0.9
    Then at most 10 percent of the workers count as slow or fast

  Scenario: The next process of a worker is as fast as others
    Guards against a restarted worker that is avoided for its former process.
    Given 4 usual workers, of which "w0" has the fewest free cores
    And the runs of a step take 4 s
    When 3 runs on "w0" take 16 s each and the others 4 s
    And the process of "w0" is replaced
    Then at most 0 workers count as slow

  Scenario: The state of the largest fleet is small
    Guards against a leader whose memory grows with each worker it has seen.
    When 25000 workers have finished runs
    Then the speeds of 20000 workers are kept in at most 10 MB
