Feature: Allowances and holdings of units under failures

  Scenario: Requests are granted units and idle units move to other instances
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    When "e2" asks for 12 units of "claims"
    And "e3" asks for 4 units of "claims"
    Then "e3" holds at least 4 units and all instances together at most 12

  Scenario: Held units stay usable after the coordinator dies
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And "e2" asks for 8 units of "claims"
    When "e1" dies
    Then "e2" still holds 8 units and the next coordinator is "e2"
    And "e3" gets units of "claims" within 15 s and all hold at most 12

  Scenario: A coordinator that resumes with an old term is ignored
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    When "e1" is paused for 20 s and resumed
    Then only one instance coordinates "centro-a" and its term is the highest
    And all instances together hold at most 12 units of "claims"

  Scenario: A lost store response does not count units twice
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a coordinated zone "occidente-a" with instances "f1, f2"
    When the responses to 3 store writes of allowance rows are lost
    And "f1" asks for 12 units of "claims" for 20 s
    Then the rows and the zones never exceed the limit of "claims"
    And "f1" holds at least 6 units of "claims"

  Scenario: A region is partitioned while units move between zones
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a coordinated zone "occidente-a" with instances "f1, f2"
    When "e2" asks for 12 units of "claims"
    And "f1" asks for 12 units of "claims" and its zone is partitioned after 1 s
    Then the rows and the zones never exceed the limit of "claims"
    And both zones keep serving their units during the partition
    And after the partition heals the zones still never exceed the limit

  Scenario: A lowered limit takes effect in every zone
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And a coordinated zone "occidente-a" with instances "f1, f2"
    When the limit of "claims" is lowered to 4
    Then within 20 s the zones together may use at most 4 units of "claims"

  Scenario: While the store is down allowances stay and held units are kept
    Given a coordinated zone "centro-a" with instances "e1, e2, e3" and a limit of 12
    And "e2" asks for 8 units of "claims"
    When the store is down and the limit of "claims" is raised to 40
    Then "e3" gets units of "claims" within 15 s and all hold at most 12

  Scenario: The allowance policy stays within the limit
    Then for any demand the requested and released allowances stay in bounds

  Scenario: Teams without demand are reviewed once a second
    # Guards against a scan of 420 teams in each tick of a coordinator.
    Given a coordinated zone "centro-a" with instances "e1, e2" and a limit of 12
    And 419 more teams whose allowances are confirmed
    When 10 s pass in the zone without demand
    Then the demand of other zones was read at most 11 times per team

  Scenario: A team with unmet demand is reviewed at the next tick
    # Guards against teams with unmet demand waiting for the next full review.
    Given a coordinated zone "centro-a" with instances "e1, e2" and a limit of 12
    And 419 more teams whose allowances are confirmed
    When 2 s pass in the zone without demand
    And "e2" lacks units of "team-7" for 200 ms
    Then the coordinator has read the row of "team-7" and of no other team
