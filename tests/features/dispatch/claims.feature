Feature: An idempotency key lets non-idempotent work run once
  Guards against work that runs twice because a request is repeated on another
  instance or because the table service's answer to a claim is lost.

  Scenario: A repeated key gets the recorded answer
    Given a data plane with 1 scripted worker of 1 slot
    When a dispatch with a key is made twice
    Then the second one gets the same answer, marked as replayed
    And 1 task ran on the scripted workers

  Scenario: A repeated key of a request in flight is refused
    Given a data plane with 1 scripted worker of 2 slots
    When a dispatch with a key is repeated while the first one runs
    Then the dispatch fails with "duplicate-request" and ran "unknown"

  Scenario: A key is not replayed for another payload
    Given a data plane with 1 scripted worker of 1 slot
    When a key is used again with another payload
    Then the dispatch fails with "duplicate-request" and ran "unknown"

  Scenario: The key of work that did not run can be used again
    Given a data plane with 1 scripted worker of 1 slot
    When a dispatch with a key is refused as not run and then repeated
    Then the dispatch gets its own answer

  Scenario: An answer above 4 KiB is not recorded
    Given a data plane with 1 scripted worker of 1 slot
    When a dispatch with a key and a payload of 5000 bytes is made twice
    Then the dispatch fails with "duplicate-request" and ran "unknown"

  Scenario Outline: The table service fails while a key is claimed
    Given a data plane with 1 scripted worker of 1 slot
    When a dispatch with a key meets the table service fault "<fault>"
    Then <starts> start arrived at the scripted workers
    And the dispatch ends with "<outcome>"

    Examples:
      | fault       | starts | outcome           |
      | down        | 0      | store-unavailable |
      | lost before | 0      | store-unavailable |
      | lost after  | 1      | answer            |
