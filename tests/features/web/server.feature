Feature: Bad input gets its status and harms nothing else

  Scenario Outline: A request that cannot be served gets its status
    Guards against bad input that ends the process or goes unanswered.
    Given an HTTP server with small limits
    When a client sends <input>
    Then it is answered with <status>
    And another client is served

    Examples:
      | input              | status |
      | garbage            | 400    |
      | a large body       | 413    |
      | large headers      | 431    |
      | half a request     | 408    |

  Scenario: A draining server answers and closes
    Guards against a planned stop that cuts requests short.
    Given an HTTP server with small limits
    When the server drains while it answers a request
    Then the request gets its whole answer
    And the connection is closed after it

  Scenario: A late answer is not read as the answer to the next request
    Guards against answers that reach the wrong caller.
    Given an HTTP server with small limits
    When an exchange times out before its answer arrives
    Then the next exchange on the pool gets its own answer
