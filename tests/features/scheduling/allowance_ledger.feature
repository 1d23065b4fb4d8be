Feature: A team's upper limit is kept as escrow

  Scenario: No order of faults lets a team start more than its limit
    Then the possible starts never exceed the limit under any faults
    And the possible starts never exceed the limit on long random walks

  Scenario: A delayed give-up of a former coordinator cannot be spent twice
    Given a former coordinator whose give-up of 6 of 10 units is still under way
    When its successor reads the row before the write arrives
    Then the successor can hand out only what its instances reported
    And after the successor's own write the delayed write fails

  Scenario: A zone gives up units only after all instances have lowered
    Given a zone with 10 units of which an instance uses 6 and holds 8
    When the zone gives up all but 3 units
    Then no write is possible before the acknowledgement
    And no write is possible until the running tasks have drained
    And the write lowers the zone's number to 3 and then the limit

  Scenario: Granted units can all be used and are granted again when returned
    Given a zone with 10 units and two entry instances
    Then all 10 units can run at either instance in turn

  Scenario: An instance that was retired while it was paused holds nothing
    Given an instance that is paused while it holds 6 unused units
    When its workers are taken over and the coordinator retires it
    Then it can start nothing after it has taken a worker again

  Scenario: A task that moves to another owner is counted once in a new term
    Given an instance whose 6 tasks are taken over after it obeyed a new term
    Then the new coordinator inherits 6 units and not 12

  Scenario: A late report does not hide tasks that were taken over
    Given an instance that reported, took over 3 tasks and reported again
    When the first of its reports arrives last
    Then the ledger still counts 3 tasks in use

  Scenario: Unused units are given up only after every instance knows
    Given a zone with 10 units and two entry instances
    When one of two instances acknowledges that 4 units are given up
    Then the write for the 4 units is possible only after the other one did

  Scenario: A former coordinator that reads the row again stops
    Given two coordinators of a zone of which the second has written the row
    When the first coordinator reads the row again
    Then the first coordinator neither grants nor writes nor gives up
