Feature: Allowances and holdings under failure

  Scenario: Quick requests get units and units that lie idle move to others
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    When "e2" asks for 12 units of "claims"
    And "e3" asks for 4 units of "claims"
    Then "e3" holds at least 4 units and all instances together at most 12

  Scenario: The coordinator dies and held units stay usable without it
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And "e2" asks for 8 units of "claims"
    When "e1" dies
    Then "e2" still holds 8 units and the next coordinator is "e2"
    And "e3" gets units of "claims" within 15 s and all hold at most 12

  Scenario: A coordinator resumes with an old term and is not obeyed
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    When "e1" is paused for 20 s and resumed
    Then only one instance coordinates "centro-a" and its term is the highest
    And all instances together hold at most 12 units of "claims"

  Scenario: A lost answer of the store leaves no unit counted twice
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a coordinated zone "occidente-a" with instances "f1, f2"
    When the store loses the answers to 3 writes of allowance rows
    And "f1" asks for 12 units of "claims" for 20 s
    Then the rows and the zones never exceed the limit of "claims"
    And "f1" holds at least 6 units of "claims"

  Scenario: A region is cut off in the middle of a move
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a coordinated zone "occidente-a" with instances "f1, f2"
    When "e2" asks for 12 units of "claims"
    And "f1" asks for 12 units of "claims" and its zone is cut off after 1 s
    Then the rows and the zones never exceed the limit of "claims"
    And both zones keep serving their units while they are cut off
    And after the cut is healed the zones still never exceed the limit

  Scenario: A lowered limit takes effect in every zone
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a coordinated zone "occidente-a" with instances "f1, f2"
    When the limit of "claims" is lowered to 4
    Then within 20 s the zones together may use at most 4 units of "claims"

  Scenario: While the store is down no allowance moves and held units stay
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And "e2" asks for 8 units of "claims"
    When the store is down and the limit of "claims" is raised to 40
    Then "e3" gets units of "claims" within 15 s and all hold at most 12

  Scenario: An allowance policy never asks for more than the limit
    Then for any demands the wanted and given up allowances stay in bounds

  Scenario: Teams without demand are looked at once a second
    # Guards against a scan of 420 teams in each tick of a coordinator.
    Given a coordinated zone "centro-a" with instances "e1, e2" and a limit of 12
    And 419 more teams whose allowances are confirmed
    When 10 s pass in the zone without demand
    Then the demands of other zones were asked for at most 11 times per team

  Scenario: A team that waits is reviewed at the next tick
    # Guards against a look that comes too seldom for teams in need.
    Given a coordinated zone "centro-a" with instances "e1, e2" and a limit of 12
    And 419 more teams whose allowances are confirmed
    When 2 s pass in the zone without demand
    And "e2" misses units of "team-7" for 200 ms
    Then the coordinator has read the row of "team-7" and of no other team
