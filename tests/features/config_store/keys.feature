Feature: Work is accepted only for the team of a valid key

  Scenario: A granted key is accepted for its team at every instance
    Given two instances with published rules and a key of team "claims"
    Then the key is accepted for team "claims" at both instances
    And only a salted hash of the key is stored

  Scenario: A withdrawn key is refused at once and within one poll elsewhere
    Given two instances with published rules and a key of team "claims"
    When the key is withdrawn at the first instance
    Then the first instance refuses the key as withdrawn or unknown
    And the second instance refuses the key after one poll

  Scenario: A key can be withdrawn while the table service is down
    Given two instances with published rules and a key of team "claims"
    When the table service stops and the key is withdrawn
    Then the first instance refuses the key as withdrawn or unknown
    And listeners are notified of the withdrawal
    And the withdrawal is stored after the table service recovers

  Scenario: A grant received after the withdrawal does not reactivate a key
    Given two instances with published rules and a key of team "claims"
    When a third instance learns of the withdrawal before the grant
    Then the third instance refuses the key

  Scenario: Malformed keys are refused
    Given two instances with published rules and a key of team "claims"
    Then no header except the correct one is accepted
    And a keyed queue refuses a missing key

  Scenario: Open queues need no key
    Given two instances with published rules
    Then queue "walk-in" accepts work without a key for team "public"

  Scenario: Keys that were not confirmed for too long are refused
    Given two instances with published rules and a key of team "claims"
    When the keys are older than the limit of an instance
    Then that instance refuses keyed work with "keys-unconfirmed"
    And it accepts work for the open queue "walk-in"
    And it accepts the key again after a confirmation

  Scenario: An instance that is not the coordinator confirms its keys itself
    Given two instances with published rules and a key of team "claims"
    When an instance with a limit of the key age runs without being coordinator
    Then that instance accepts the key
