Feature: The fair queue orders waiting tasks by usage, priority and deadline

  Scenario: The order equals that of a sorted list
    Then the fair queue agrees with a sorted list after any operations

  Scenario: Tasks beyond the limit of the queue or of a team are refused
    Given a fair queue for 10 tasks of which one team may have 6
    When a team floods the fair queue with 8 tasks
    Then 2 tasks of the flood are refused
    And another team can still push 4 tasks but not 5

  Scenario: Mass cancellation does not scan the queue
    Then cancelling 20000 of 40000 waiting tasks costs at most 40 comparisons each

  Scenario: A subqueue that cannot run is skipped as a whole
    Given 5000 waiting tasks that do not fit and a small task behind them
    Then the small task is popped after examining 2 tasks

  Scenario: A batch task is ordered by its latest start
    Given two batch tasks of which the longer has the later deadline
    Then the longer batch task is popped first

  Scenario: A search in a full cluster does not visit all teams
    Given 50000 waiting tasks of 420 teams with 3 distinct requirements
    Then a search without a fitting task checks 3 requirements and examines no task
