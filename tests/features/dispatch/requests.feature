Feature: A request runs at most once, and a refused request has not run
  Guards against duplicate runs, false "not run" answers and capacity that is
  never freed.

  Scenario: A lost answer of non-idempotent work is reported as unknown
    Given a data plane with 2 scripted workers of 1 slot
    When a non-idempotent dispatch meets the fault "close before the answer"
    Then the dispatch fails with "outcome-unknown" and ran "unknown"
    And 1 start arrived at the scripted workers
    And no stop was sent to the scripted workers

  Scenario: Work of unknown outcome stays counted until an inventory
    Given a data plane with 1 scripted worker of 1 slot
    When a non-idempotent dispatch meets the fault "cut the body"
    Then 1 task of team claims is counted
    And after an inventory without the task no task of team claims is counted

  Scenario: Idempotent work is retried after a confirmed stop
    Given a data plane with 2 scripted workers of 1 slot
    When an idempotent dispatch meets the fault "close before the answer"
    Then the dispatch gets the answer of the second attempt
    And the stop was confirmed before the second start

  Scenario: Idempotent work is not retried without a confirmed stop
    Given a data plane with 2 scripted workers of 1 slot
    And the scripted workers answer a stop with "running"
    When an idempotent dispatch meets the fault "close before the answer"
    Then the dispatch fails with "outcome-unknown" and ran "unknown"
    And 1 start arrived at the scripted workers

  Scenario Outline: A retry that is refused is not reported as not run
    Given a data plane with 1 scripted worker of 1 slot
    And the scripted workers answer a stop with "<state>"
    When an idempotent dispatch is lost once and then refused by all workers
    Then the dispatch fails with "outcome-unknown" and ran "unknown"

    Examples: A restarted worker says that it never started the task
      | state         |
      | stopped       |
      | never-started |

  Scenario Outline: A refusal of a worker leads to another worker
    Given a data plane with 2 scripted workers of 1 slot
    When a non-idempotent dispatch meets the fault "refuse <code>"
    Then the dispatch gets its own answer
    And 2 starts arrived at the scripted workers
    And 1 task ran on the scripted workers

    Examples:
      | code        |
      | stale-epoch |
      | expired     |
      | busy        |
      | leaving     |

  Scenario: A start that the worker refuses as a duplicate may have run
    Given a data plane with 2 scripted workers of 1 slot
    When a non-idempotent dispatch meets the fault "refuse duplicate"
    Then the dispatch fails with "outcome-unknown" and ran "unknown"
    And 1 start arrived at the scripted workers

  Scenario: A request whose deadline passes in the queue never runs
    Given a data plane with 1 scripted worker of 1 slot
    And a dispatch occupies the only slot
    When a dispatch with a deadline of 100 ms waits
    Then the dispatch fails with "deadline-exceeded" and ran "no"
    And after the slot is free the expired dispatch has not run

  Scenario: A full queue refuses requests at once
    Given a data plane with 1 scripted worker of 1 slot and a queue of 2
    And a dispatch occupies the only slot
    When 4 dispatches are made
    Then 3 of them fail with "queue-full" and ran "no"

  Scenario: A request that would wait beyond its deadline is refused early
    Then a wait estimate above the deadline refuses the request

  Scenario: A caller that cancels while waiting frees its place in the queue
    Given a data plane with 1 scripted worker of 1 slot
    And a dispatch occupies the only slot
    When a waiting dispatch is cancelled and the slot is freed
    Then the next dispatch gets its own answer

  Scenario: Neither slots nor a team's limit are exceeded
    Then random arrivals exceed neither 3 slots nor a limit of 2

  Scenario: The tasks of a lost worker stay counted
    Given a data plane with 1 scripted worker of 2 slots
    And a job task runs on the scripted worker
    When the scripted worker is granted to another instance
    Then 1 task of team claims is counted
    And no task is counted after the coordinator settles the worker

  Scenario: A placement from before a new inventory is not started
    Guards against starts on capacity that other tasks took while this process
    was paused.
    Given a placement on a worker of 1 slot
    When the worker is reacquired with another task on it
    Then the start of the placement is refused with "lease-lost"
