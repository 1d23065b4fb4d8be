Feature: The free-capacity index places tasks without full scans

  Scenario: No sequence of operations overcommits a worker
    Then the index agrees with a reference model after any free-index operations

  Scenario: Placement follows the policy of the kind
    Then quick tasks go to the least loaded worker, batch tasks to the most loaded

  Scenario: Repeated searches find a fitting worker in a boundary size class
    Given 40 workers of which only the last has memory for a task
    Then repeated choices find the last worker

  Scenario: Service tasks stay evenly spread over racks when some end
    Then racks never differ by more than one task of a service while all have room

  Scenario: A leaving worker gets no tasks when its quarantine ends
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
    Then the large task is placed before 100 small tasks have ended
    And after its hold ended the worker serves small tasks again
