Feature: Job tasks are counted until their worker reports their end
  Guards against overcommitted workers and against tasks that are lost or run
  twice.

  Scenario: A job task is counted until the worker reports its end
    Given a data plane with 1 scripted worker of 1 slot
    When a job task is placed and a second one is refused for lack of capacity
    Then the second one is placed after the worker reported the first one

  Scenario: A job start whose answer was lost is reported as unknown
    Given a data plane with 1 scripted worker of 1 slot
    When a job start meets the fault "close a job start"
    Then the place outcome is unknown on worker "w1"
    And 1 task of team claims is counted

  Scenario: A job task that is already placed is not started again
    Given a data plane with 2 scripted workers of 1 slot
    When a job task is placed twice, and once more while draining
    Then each outcome names the same worker and one start arrived

  Scenario: A refused job start tries another worker
    Given a data plane with 2 scripted workers of 1 slot
    When a job start meets the fault "refuse busy"
    Then the place outcome is a placement

  Scenario: Urgent work gets the capacity of a checkpointed task
    Given a data plane with 1 scripted worker of 1 slot
    When an urgent job task is placed on the full worker
    Then the running job task was checkpointed first

  Scenario: A reservation keeps capacity until it is used or released
    Given a data plane with 1 scripted worker of 2 slots
    Then reserved capacity is used once and released capacity is free again

  Scenario: A worker on which five jobs failed is quarantined
    Given a data plane with 2 scripted workers of 1 slot
    When the tasks of 5 jobs fail on the scripted worker "w1"
    Then "w1" gets no work until a probe, and one task as the probe
    And a probe that succeeds ends the quarantine

  Scenario: A single job that fails does not quarantine workers
    Given a data plane with 2 scripted workers of 1 slot
    When the tasks of 1 jobs fail on the scripted worker "w1"
    Then no worker is in quarantine
