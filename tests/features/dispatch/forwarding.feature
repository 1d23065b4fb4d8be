Feature: Requests move between entry instances at most once
  Guards against requests that run twice because of forwarding, against forged
  forwards, and against requests that a stopping instance loses.

  Scenario: A request is forwarded to a peer if only the peer has free capacity
    Given two data planes that know each other, the first one full
    When a request is sent to the full one
    Then the answer comes from a worker of the other one

  Scenario Outline: The outcome is unknown unless the peer's answer is certain
    Given two data planes that know each other, the first one full
    And the other one <fault> after it got a request
    When a request is sent to the full one
    Then the caller gets status 502 with code "outcome-unknown" and ran "unknown"
    And nothing of the lost request ran on the first one

    Examples:
      | fault                           |
      | loses the connection            |
      | says that the work may have run |
      | answers without a task id       |

  Scenario: A request that a peer refuses runs on this instance
    Given two data planes that know each other, the first one full
    And the other one says that the work did not run after it got a request
    When a request is sent to the full one whose slot is freed later
    Then the answer comes from a worker of the full one

  Scenario: A forwarded request is not forwarded again
    Given two data planes that know each other, both full
    And the second one knows a third peer with free capacity
    When a request with a deadline of 150 ms is sent to the first one
    Then the caller gets status 504 with code "deadline-exceeded" and ran "no"
    And no request was forwarded by the second one

  Scenario Outline: A forged forward is refused
    Given two data planes that know each other, the first one full
    When a forwarded request with <fault> reaches the other one
    Then the caller gets status 401 with code "key-invalid" and ran "no"

    Examples:
      | fault             |
      | a wrong signature |
      | another team      |
      | another payload   |
      | an old signature  |
      | no signature      |

  Scenario: A remote peer is used only if the wait exceeds the round trip
    Then a peer in another region is chosen only for a long expected wait

  Scenario: A stopping instance finishes its requests
    Given two data planes that know each other, the first one full
    And a request waits in the queue of the first one while its peer is full
    When the first one drains while the peer gets free capacity
    Then the running request gets its own answer and the waiting one the peer's
    And the drained one refuses new requests as not run
