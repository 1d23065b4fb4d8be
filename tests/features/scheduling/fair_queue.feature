Feature: The fair queue orders waiting tasks by usage, priority and deadline

  Scenario: The order is that of a plain sort
    Then the fair queue agrees with a sorted list after any operations

  Scenario: A full queue and a flooding team are refused
    Given a fair queue for 10 tasks of which one team may have 6
    When a team floods the fair queue with 8 tasks
    Then 2 tasks of the flood are refused
    And another team can still push 4 tasks but not 5

  Scenario: A wave of cancellations costs no scan
    Then cancelling 20000 of 40000 waiting tasks compares at most 40 orders each

  Scenario: A lane that cannot run is skipped as a whole
    Given 5000 waiting tasks that find no room and a small one behind them
    Then the small task is popped after examining 2 tasks

  Scenario: A batch task is ordered by its latest start
    Given two batch tasks of which the longer has the later deadline
    Then the longer batch task is popped first

  Scenario: A full cluster is noticed without going through all teams
    Given 50000 waiting tasks of 420 teams with 3 different needs
    Then a search that finds no room asks 3 times and goes through no team
