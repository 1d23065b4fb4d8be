Feature: A response without an end does not make the process grow

  Scenario Outline: An exchange whose response is too large fails
    Guards against a server or relay that makes its client run out of memory.
    The system buffers some MB beyond what the client has read.
    Given a server that responds with <input>
    When a client sends a request with a limit of 100000 bytes
    Then the exchange fails with an unknown outcome
    And the server has sent at most 12 MB

    Examples:
      | input                    |
      | an endless header        |
      | endless headers          |
      | an endless body          |
      | a too large body         |
      | endless chunk extensions |
      | endless small chunks     |
      | endless trailers         |

  Scenario: A response within the limits is read
    Guards against limits that reject a page of the store.
    Given a server that responds with a body of 100000 bytes in small chunks
    When a client sends a request with a limit of 100000 bytes
    Then the response has 100000 bytes

  Scenario: A response whose parts never end is given up
    Guards against a call that lasts as long as its server sends something.
    Given a server that responds with a slow endless body
    When a client sends a request whose parts may take 5 s and all of it 0.3 s
    Then the exchange fails with an unknown outcome in time
