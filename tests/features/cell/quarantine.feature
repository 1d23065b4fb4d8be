Feature: Workers that failed what they started are used again in time

  Scenario Outline: A failed probe of <runs> runs doubles the quarantine once
    Guards against a worker that is not used for long after it is sound, as each
    run of a failed probe doubled its quarantine (review case 9).
    Given a worker that was quarantined 2 s ago
    When <runs> runs of its first probe fail
    Then it gets no run for 4 s, and one after that

    Examples:
      | runs |
      | 1    |
      | 3    |

  Scenario: The pause between two probes has a bound
    Guards against a worker that is not used for long after it is sound, although
    a task that lasts waits for its room (LOST, review case 9).
    Given a worker that was quarantined 2 s ago
    When 5 probes fail one after the other
    Then it gets no run for 4 s, and one after that

  Scenario: A gang starts on a quarantined worker if it has no other room
    Guards against a gang without a run beside free capacity, as the worker that
    has it is quarantined and a probe runs there (LOST).
    Given 2 workers with 4 cores each
    And runs of 6 jobs have failed on the first worker
    And a run of 1 core on the first worker
    And a waiting gang of 6 members of 1 core
    When plans are made for 1 s
    Then nothing starts
    When plans are made for 3 s
    Then 6 tasks start

  Scenario: One task of a step starts on a quarantined worker at a time
    Guards against a job without a run beside free capacity, and against a step
    all of whose tasks fail on a sick worker (LOST).
    Given 4 workers with 4 cores each
    And runs of 6 jobs have failed on the first worker
    And a run of 1 core on the first worker
    And the second worker is full
    And only the first 2 workers have the label "special"
    And 3 waiting tasks of 1 core with the label "special"
    When plans are made for 1 s
    Then nothing starts
    When plans are made for 3 s
    Then 1 tasks start on the first worker only

  Scenario: A busy fleet does not use quarantined workers for tasks that end
    Guards against tasks that fail on a sick worker, as a full fleet has no other
    room for them.
    Given 2 workers with 4 cores each
    And runs of 6 jobs have failed on the first worker
    And a run of 1 core on the first worker
    And the second worker is full
    And 3 waiting tasks of 1 core that can be on time
    When plans are made for 3 s
    Then nothing starts

  Scenario: Tasks that last are on one quarantined worker at a time
    Guards against sick workers that hold many tasks which last, and against such
    tasks without a run while workers are sound again (LOST, review case 9).
    Given 2 quarantined workers and 3 full ones
    And a waiting step of 2 tasks that last
    When plans are made for 4 s
    Then one of them starts on a quarantined worker
    When it has been at work for 1 s
    Then nothing starts
    When it has been at work for 3 s
    Then one of them starts on another worker

  Scenario: A task that was there before the failures proves nothing
    Guards against a worker that fails all that it starts, and is used as its
    earlier tasks go on.
    Given a worker that was quarantined 2 s ago
    And a task that lasts runs there since before
    When it has been at work for 3 s
    Then the worker is quarantined
