Feature: Work is started only under a valid lease
  Guards against starts by a lease holder that is paused, replaced or
  partitioned.

  Scenario: The lease always ends earlier for its owner than for the worker
    Then for any delays the lease deadline lies before the worker's expiry

  Scenario: A permit is refused after the lease changed
    Then a permit is refused after a lapse, a loss or a new epoch

  Scenario: A holder that was paused sends nothing
    Given a fleet that owns one scripted worker with a short lease
    When the process is paused for longer than the lease
    Then a worker request fails with "lease-lost" and nothing arrives

  Scenario: A holder that cannot renew sends nothing
    Given a fleet that owns one scripted worker with a short lease
    When the worker stops answering lease requests until the lease lapses
    Then the listener received "acquired, lost"
    And a worker request fails with "lease-lost" and nothing arrives

  Scenario: A lapsed lease is acquired again with an inventory
    Given a fleet that owns one scripted worker with a short lease
    And the worker stops answering lease requests until the lease lapses
    When the worker answers lease requests again
    Then the listener received "acquired, lost, acquired"
    And the new epoch is higher than the old one

  Scenario: A lease without an inventory is not used
    Given a scripted worker that gives no inventory to its first lease
    When a fleet acquires the scripted worker after a release
    Then the first lease was released before the listener received "acquired"

  Scenario: A worker that another instance holds is not owned
    Given a fleet that owns one scripted worker
    When the worker grants its lease to another instance
    Then the listener received "acquired, lost"
    And the fleet owns no worker

  Scenario: A restarted worker is acquired again
    Given a fleet that owns one scripted worker
    When the worker restarts with a new incarnation
    Then the listener received "acquired, restarted, acquired"

  Scenario: Inventory, changes and usage reach the listener
    Given a scripted worker that runs a task and has reported a change
    When a fleet acquires the scripted worker
    Then the listener got the inventory and then the change

  Scenario: A leaving worker gets no new work
    Given a fleet that owns one scripted worker
    When the worker reports that it is leaving
    Then a worker request fails with "worker-refused" and nothing arrives

  Scenario Outline: A lease is released after the answer of the last request
    Given a fleet that owns one scripted worker
    And a worker request waits for its answer
    When the fleet hands over the worker by "<means>"
    Then a worker request fails with "lease-lost" and nothing arrives
    And the lease is released only after the waiting request was answered

    Examples:
      | means      |
      | candidates |
      | release    |
