Feature: Requests move between entry instances at most once
  Guards against duplicates by forwarding, forged forwards and lost requests
  of an instance that stops.

  Scenario: A request without room goes to a peer that has room
    Given two data planes that know each other, the first one full
    When a request is sent to the full one
    Then the answer comes from a worker of the other one

  Scenario Outline: Without a certain answer of the peer the outcome is unknown
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

  Scenario: A peer that refuses leaves the request here
    Given two data planes that know each other, the first one full
    And the other one says that the work did not run after it got a request
    When a request is sent to the full one whose slot is freed later
    Then the answer comes from a worker of the full one

  Scenario: A forwarded request is not forwarded again
    Given two data planes that know each other, both full
    And the second one sees a third peer with room
    When a request with a deadline of 150 ms is sent to the first one
    Then the caller gets status 504 with code "deadline-exceeded" and ran "no"
    And no request was forwarded by the second one

  Scenario Outline: A forged forward is refused
    Given two data planes that know each other, the first one full
    When a forwarded request with <fault> reaches the other one
    Then the caller gets status 401 with code "key-invalid" and ran "no"

    Examples:
      | fault              |
      | a false proof      |
      | another team       |
      | another payload    |
      | an old proof       |
      | no proof           |

  Scenario: A remote peer is used only if the wait is longer than the hop
    Then a peer in another region is chosen only for a long expected wait

  Scenario: An instance that stops finishes its requests
    Given two data planes that know each other, the first one full
    And a request waits in the queue of the first one while its peer is full
    When the first one drains while the peer gets room
    Then the running request gets its answer and the waiting one the peer's
    And the drained one refuses new requests as not run
