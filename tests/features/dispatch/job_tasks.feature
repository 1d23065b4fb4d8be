Feature: Job tasks are counted until their worker reports their end
  Guards against overcommitted workers and tasks that are lost or run twice.

  Scenario: A job task is counted until the worker reports its end
    Given a data plane with 1 scripted worker of 1 slot
    When a job task is placed and a second one is refused for lack of room
    Then the second one is placed after the worker reported the first one

  Scenario: A job start whose answer was lost is reported as unknown
    Given a data plane with 1 scripted worker of 1 slot
    When a job start meets the fault "close a job start"
    Then the place outcome is unknown on worker "w1"
    And 1 task of team claims is counted

  Scenario: A refused job start tries another worker
    Given a data plane with 2 scripted workers of 1 slot
    When a job start meets the fault "refuse busy"
    Then the place outcome is a placement

  Scenario: Urgent work takes the place of a checkpointed task
    Given a data plane with 1 scripted worker of 1 slot
    When an urgent job task is placed on the full worker
    Then the running job task was checkpointed first

  Scenario: A reservation keeps room until it is used or released
    Given a data plane with 1 scripted worker of 2 slots
    Then reserved room is used once and released room is free again

  Scenario: A failed job task is reported to the quarantine
    Given a data plane with 1 scripted worker of 1 slot and a quarantine
    When a job task fails on the scripted worker
    Then the quarantine learnt of the failure
