Feature: A change of the configuration is in force in time

  Scenario: A transfer of the configuration that makes progress is not given up
    Guards against transfers that end at a time limit and start again.
    Given 6 instances that follow the configuration over a link of 6 Mbit/s
    When the operator adds 1400 queues
    Then the change is in force in each instance within 4000 ms
    And the link has carried less than 2 copies for each instance

  Scenario: A change that follows a large one at once is in force in time
    Guards against the first transfer delaying the second beyond its bound.
    Given 6 instances that follow the configuration over a link of 10 Mbit/s
    When the operator adds 1400 queues
    And 1250 ms later the operator changes one queue of them
    Then the change is in force in each instance within 4000 ms

  Scenario Outline: A call for changes without an answer is given up in time
    Guards against waiting on a connection that has gone silent, and against
    giving up a call whose answer waits behind others on a busy link.
    Given 1 instances that follow the configuration over a link of 10 Mbit/s
    When the configuration is withheld while other calls are <others>
    Then the call for changes is <outcome> within 2500 ms

    Examples:
      | others     | outcome      |
      | answered   | repeated     |
      | unanswered | not repeated |

  Scenario Outline: A request is not decided by a configuration that may be old
    Guards against answers that only a former version allows.
    Given a cell with 1 workers and 1 instances
    And an open queue
    When the configuration is withheld from the instances
    And the configuration is older than a change may take to be in force
    Then the answer to <request> is 503 with a retry time
    When the configuration is no longer withheld
    Then the answer to <request> is <status> soon
    And no task was started

    Examples:
      | request                        | status |
      | a count of the open queue      | 200    |
      | a count of an unknown queue    | 404    |
      | a count with an unknown key    | 401    |
      | a query in the open queue      | 410    |

  Scenario Outline: What an instance knows of the configuration decides for a time
    Guards against an instance that is cut off and serves nobody, and against one
    that answers by a former version although it is not cut off.
    Given a configuration that was confirmed <age> s ago
    And a store that last answered <silence> s ago
    When a change must be in force after 4.0 s
    Then requests are <decision>

    Examples:
      | age | silence | decision |
      | 0.5 | 0.0     | decided  |
      | 4.0 | 0.0     | decided  |
      | 4.1 | 0.0     | refused  |
      | 4.1 | 3.0     | refused  |
      | 5.0 | 4.0     | refused  |
      | 5.0 | 4.1     | decided  |
      | inf | 0.0     | refused  |
