Feature: A step that could run does not wait when all is calm

  Scenario: Random cells start every step that fits
    Guards against state that withholds a step, a worker or a call for longer
    than its cause lasts (LOST).
    When the random cells with the seeds 1 to 20 are played
    Then no step that could run waits for more than 3 s when all is calm
    And no start exceeds the limit of its workspace

  Scenario: Random cells with crashing and failing tasks start every step
    Guards against suspected tasks, failed runs and long-running tasks that
    close workers to others for long (LOST).
    When the random cells with crashing tasks and the seeds 1 to 12 are played
    Then no step that could run waits for more than 3 s when all is calm
    And no start exceeds the limit of its workspace
    And no long-running task waits for more than 9 s after its latest run

  Scenario: Many tasks that run alone do not wait for each other
    Guards against a queue of tasks that run alone beside free workers (LOST).
    When the random cells with crashing tasks and the seeds 13 to 25 are played
    Then no step that could run waits for more than 3 s when all is calm
    And no start exceeds the limit of its workspace
    And no long-running task waits for more than 9 s after its latest run

  Scenario Outline: Random cells use quarantined workers again in time (<seed>)
    Guards against steps and gangs that wait for the room of workers on which runs
    have failed (LOST, review case 9).
    When the random cells with crashing tasks and the seeds <seed> to <seed> are played
    Then no step that could run waits for more than 3 s when all is calm
    And no start exceeds the limit of its workspace
    And no long-running task waits for more than 9 s after its latest run

    Examples:
      | seed |
      | 94   |
      | 215  |
      | 325  |
      | 648  |
      | 735  |
      | 754  |
      | 848  |

  Scenario: Random cells with changing limits keep them
    Guards against starts above a limit that was raised or lowered (QUOTA).
    When the random cells with changing limits and the seeds 1 to 15 are played
    Then no step that could run waits for more than 3 s when all is calm
    And no start exceeds the limit of its workspace
