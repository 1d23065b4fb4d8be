Feature: The free-capacity index places tasks without scans

  Scenario: No sequence of operations overcommits a worker
    Then the index agrees with a plain account after any free-index operations

  Scenario: Placement follows the policy of the kind
    Then quick tasks go to the least loaded worker and batch tasks to the fullest

  Scenario: A fitting worker in a boundary size class is found eventually
    Given 40 workers of which only the last has memory for a task
    Then repeated choices find the last worker

  Scenario: Service tasks are spread evenly over racks even when some end
    Then racks never differ by more than one task of a service while all have room

  Scenario: The end of a quarantine does not send work to a leaving worker
    Given an index with one worker that is leaving and in quarantine
    When the quarantine of the leaving worker ends
    Then the leaving worker is not chosen and refuses claims

  Scenario: The cost of a placement does not grow with the fleet
    Then 19000 workers cost less than twice the examinations of 24 for each kind

  Scenario: Quick and batch tasks examine far fewer workers than first fit
    Then filling 2000 workers examines less than a hundredth of what first fit does

  Scenario: Small tasks do not starve a large one
    Given 4 workers full of tasks of one slot and a task of 6 slots
    When the small tasks end one by one and others take their place
    Then the large task starts before 100 small tasks have ended
    And after its hold ended the worker serves small tasks again
