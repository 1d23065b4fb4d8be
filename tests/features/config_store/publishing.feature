Feature: Configuration versions are published once and never reverted

  Scenario: A conflict names the line and the author of the earlier change
    Given two instances with published rules
    When "ana" and "luis" change the limit on line 1 at the same time
    Then exactly one of the two changes is accepted
    And the conflict of the other names line 1 and the accepted author

  Scenario: Key grants do not conflict with rules or with each other
    Given two instances with published rules
    When 6 keys are granted at both instances at the same time
    And "ana" changes the limit on line 1 based on the version before
    Then no operator got an error
    And all 12 keys are stored

  Scenario Outline: A lost answer does not publish twice
    Given two instances with published rules
    And the answer to the next write is lost by "<fault>"
    When "ana" changes the limit on line 1 until it succeeds
    Then the stored version is 2 and line 1 is changed

    Examples:
      | fault       |
      | drop after  |
      | drop before |

  Scenario: Applying the same rules again changes nothing
    Given two instances with published rules
    When the same rules are applied again at the other instance
    Then the result is version 1 without a change

  Scenario: An outage refuses changes and keeps the rules
    Given two instances with published rules
    When the table service fails while "ana" changes the limit on line 1
    Then the change is refused with "store-unavailable"
    And the first instance still has version 1
    And the change succeeds after the table service recovers

  Scenario: No order of received versions lowers the version of an instance
    Then versions adopted in any order, with repeats and gaps, never revert

  Scenario: A table service restored from an old backup does not revert rules
    Given two instances with published rules
    When the table service is restored from an empty backup
    Then polling keeps version 1
    And changing rules is refused with "version-conflict"

  Scenario: A new instance reads a snapshot instead of all versions
    Given two instances with published rules
    When 140 more versions are published
    Then a new instance reads the newest version with at most 6 requests

  Scenario: An instance that starts during an outage asks its peers
    Given two instances with published rules
    When an instance starts while the table service is down
    Then it gets version 1 from a peer

  Scenario: Bytes from peers are versions or a protocol error
    Then versions survive encoding
    And decoding any bytes gives versions or a protocol error

  Scenario: A change is in force in a zone only after all its instances report
    Given a tracker with two instances in zone "centro-a" and one in "centro-b"
    When the other instance of zone "centro-a" reports version 1
    Then version 1 is in force in "centro-a" and not in "centro-b"
    And version 1 is in force in "centro-b" once its coordinator reports it
