Feature: Nothing starts in an evacuated availability zone

  The operator evacuates a zone with a row in the store until the row is removed.

  Scenario: Every instance knows the evacuated zones from the rows
    Guards against an instance that misses a request, or the end of one.
    Given a cell with a worker in each of the zones "a b" and 2 instances
    When the operator evacuates zone "a"
    Then every instance knows the evacuated zones "a"
    When the operator evacuates zone "b"
    And the operator evacuates zone "b"
    Then every instance knows the evacuated zones "a b"
    When the operator ends the evacuation of zone "b"
    Then every instance knows the evacuated zones "a"
    When the operator ends the evacuation of zone "a"
    Then every instance knows the evacuated zones ""

  Scenario: An evacuation ends although its removal was not delivered
    Guards against a zone that stays evacuated, since the feed of the store no
    longer keeps the removal of the row.
    Given a cell with a worker in each of the zones "a b" and 2 instances
    When the operator evacuates zone "a"
    Then every instance knows the evacuated zones "a"
    When the evacuation of zone "a" ends and the store forgets its history
    Then every instance knows the evacuated zones ""

  Scenario: An evacuation behind a page of other rows is read
    Guards against a request that is on the second page of the operator's rows.
    Given a cell with a worker in each of the zones "a b" and 1 instances
    And 600 other rows before those of evacuations
    When the operator evacuates zone "a"
    And all instances are replaced by 2 new ones
    Then every instance knows the evacuated zones "a"
