Feature: A leadership that fails gives way, and fails less and less often

  Scenario Outline: The delay of a claim grows with failures at the same part
    Guards against instances that are elected and fail several times a second.
    Given <count> leaderships that failed at "planning", one each second
    Then the next claim is delayed by <delay> s
    And 10 s later it is not delayed

    Examples:
      | count | delay |
      | 1     | 1     |
      | 2     | 2     |
      | 3     | 4     |
      | 9     | 4     |
      | 5000  | 4     |

  Scenario: Failures at other parts or long ago do not add up
    Guards against a claim that is late as the instance failed some time before.
    Given 3 leaderships that failed at "planning", one each second
    When one fails at "journal" after 1 s
    Then the next claim is delayed by 1 s
    When one fails at "journal" after 60 s
    Then the next claim is delayed by 1 s

  Scenario: Leaderships that always fail are rare, reported and do not last
    Guards against a cell whose instances do nothing but elect each other, and
    against a failure that no alert can see.
    Given a cell with 1 workers and 2 instances
    When planning ends with an unexpected error in each leader for 6 s
    Then at most 10 leaderships have failed
    And the failures were counted for "planning"
    And a line says that leaderships fail repeatedly at "planning"
    And a job completes

  Scenario Outline: A part that fails once leads to one election
    Guards against a leader without the part, and against tasks that end with it.
    Given a cell with 1 workers and 2 instances
    When <part> of the leader ends once with an unexpected error
    Then the other instance leads after one election
    And a job completes

    Examples:
      | part          |
      | the journal   |
      | the heartbeat |
      | the jobs feed |

  Scenario Outline: An odd election row leaves an instance in the election
    Guards against an instance that follows no election any more, as a field of
    the row has another type.
    Given a cell with 1 workers and 2 instances
    When the election row has <odd>
    Then a job completes

    Examples:
      | odd                       |
      | an epoch that is a text   |
      | an epoch of 401 digits    |
      | an instance of a number   |
      | a list in place of fields |
