Feature: An escrow enforces a team's limit across zones

  Scenario: No sequence of faults lets a team exceed its limit
    Then running and possible tasks never exceed the limit under any faults
    And running and possible tasks never exceed the limit on long random walks

  Scenario: Units of a delayed reduction are not granted by the successor
    Given a former coordinator whose reduction by 6 of 10 units is still in flight
    When its successor reads the row before the write takes effect
    Then the successor can grant only the units that its instances reported
    And after the successor's own write the delayed write fails

  Scenario: A zone writes a reduction only after its instances have applied it
    Given a zone with 10 units of which an instance uses 6 and holds 8
    When the zone reduces its allowance to 3 units
    Then no write is possible before the acknowledgement
    And no write is possible until enough running tasks have ended
    And the write lowers the zone's allowance and the limit to 3

  Scenario: All granted units are usable and can be granted again when returned
    Given a zone with 10 units and two entry instances
    Then each instance in turn can use all 10 units

  Scenario: An instance that was removed while paused holds no units
    Given a paused instance that holds 6 unused units
    When its workers are taken over and the coordinator removes it
    Then it can start no task after it has acquired a worker again

  Scenario: A new term counts a task that moved to another owner once
    Given an instance whose 6 tasks are taken over after it joined a new term
    Then the new coordinator inherits 6 units and not 12

  Scenario: A late report does not hide tasks that were taken over
    Given an instance that reported, took over 3 tasks and reported again
    When the first of its reports arrives last
    Then the ledger still counts 3 tasks in use

  Scenario: A reduction of unused units needs all acknowledgements
    Given a zone with 10 units and two entry instances
    When one of two instances acknowledges a reduction by 4 units
    Then the write for the 4 units is possible only after the other one acknowledged

  Scenario: A former coordinator that reads the new row stops
    Given two coordinators of a zone of which the second has written the row
    When the first coordinator reads the row again
    Then the first coordinator neither grants nor writes nor starts a reduction
