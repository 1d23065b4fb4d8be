Feature: Operators manage keys and inspect instances

  Background:
    Given two served instances with the example rules

  Scenario: A key is granted, listed and withdrawn
    When a key is granted to team "claims" by command
    Then "keys list" shows the key without its secret
    And withdrawing the key reports zone "occidente-a" as in force
    And both instances refuse the granted key

  Scenario: A withdrawal names zones that have not confirmed it
    When a key is granted to team "claims" by command
    And zone "occidente-a" is isolated
    Then withdrawing the key exits with 4 and names "occidente-a"

  Scenario: A key is withdrawn while the store is down
    When a key is granted to team "claims" by command
    And the store of the served instances stops
    Then withdrawing the key reports zone "occidente-a" as in force
    And both instances refuse the granted key

  Scenario Outline: Commands reject invalid input
    Then "<command>" exits with <code> and notes "<note>"

    Examples:
      | command                             | code | note         |
      | keys grant nobody                   | 1    | has no rule  |
      | keys withdraw xyz                   | 1    | hexadecimal  |
      | keys withdraw 0123456789abcdef      | 1    | there is no key |
      | rules explain team claim            | 1    | did you mean 'claims'? |
      | rules explain planet x              | 2    | planet       |
      | jobs cancel                         | 2    | job ids      |

  Scenario: A wrong operators' key is refused
    Then every command with a wrong operators' key exits with 1

  Scenario: The timeline merges events and names unreachable instances
    Given a request that passed through both instances and a third that is unreachable
    Then the timeline of the request shows both instances in causal order
    And the timeline names the instance that was not reached and exits with 1
    And the timeline is available as jsonl and as trace

  Scenario: The status shows every instance
    Then "status" succeeds with "entry-2"
    And "status --json" lists 2 instances with configuration version 1

  Scenario: Every command can print JSON
    Then every registered command has the option "--json"
    And "version --json" succeeds with "version"

  Scenario: A command skips an unreachable instance
    Given the first address belongs to no instance
    Then "rules explain queue bundles" succeeds with "must start within 21600 s"
    And "jobs explain centro-a.1" succeeds with "waits for 3 workers"
