Feature: Concurrent transactions share writes without sharing failures

  Scenario: Concurrent transactions join one write
    Given a platform with a table service in memory
    When 1200 transactions of one row are committed at once
    Then all 1200 commits succeed
    And at most 3 writes reached the table service, each of at most 500 rows

  Scenario: One conflicting member does not fail the others
    Given a platform with a table service in memory
    When 20 transactions are committed at once and number 7 checks an old version
    Then only transaction number 7 fails with "version-conflict"
    And its error names the row "row/7"

  Scenario: Writes of the same row keep their order and are not joined
    Given a platform with a table service in memory
    When the row "counter" is put with values 1 to 5 at once
    Then the row "counter" holds 5

  Scenario Outline: A lost answer is resolved by reading back
    Given a platform with a table service in memory
    And the table service will "<fault>" on the next write
    When the row "job" is committed with a check that it is absent
    Then the commit outcome is "<outcome>"
    And the row "job" was written <times> times

    Examples:
      | fault       | outcome           | times |
      | drop after  | committed         | 1     |
      | drop before | store-unavailable | 0     |
      | fail        | store-unavailable | 0     |
      | refuse      | store-unavailable | 0     |

  Scenario: A refusal by the service itself is not followed by further calls
    Given a platform with a table service in memory
    And the table service will "refuse" on the next write
    When the row "job" is committed with a check that it is absent
    Then exactly 1 "POST" request arrived

  Scenario: A transaction queued behind an unresolved write fails unsent
    Given a platform with a table service in memory and timeouts of 500 ms
    And the table service stops for good after it received a write
    When the row "late" is committed while the write of "early" is unresolved
    Then the commit of "late" fails with "store-unavailable" and is never sent

  Scenario: A write that arrives after it was reported as lost has no effect
    Given a platform with a table service in memory and timeouts of 200 ms
    And the table service will "hold" on the next write
    When the row "job" is committed with a check that it is absent
    And the held write arrives late
    Then the commit outcome is "store-unavailable"
    And the row "job" was written 0 times

  Scenario: An outcome that cannot be read back in time is reported as unknown
    Given a platform with a table service in memory and timeouts of 200 ms
    And the table service stops for good after it received a write
    When the row "job" is committed with a check that it is absent
    Then the commit outcome is "store-outcome-unknown"

  Scenario: A write succeeds after another process replaced the writer row
    Given a platform with a table service in memory
    And another process replaces the writer row
    When the row "job" is committed with a check that it is absent
    Then the commit outcome is "committed"
    And the row "job" was written 1 times

  Scenario: No sequence of faults duplicates a write or applies a failed one
    Given a platform with a table service in memory and timeouts of 50 ms
    Then under any faults committed rows are written once and refused ones never
