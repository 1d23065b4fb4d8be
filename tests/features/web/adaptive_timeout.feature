Feature: The timeout of a call adapts to response times

  Scenario Outline: The timeout after responses and timeouts
    Guards against retries of calls that are still queued at a slow server, and
    against a long wait for a lost response.
    Given response times of <responses> ms
    When <timeouts> calls time out
    Then the next timeout is <min> to <max> ms

    Examples:
      | responses             | timeouts | min  | max  |
      | 4 4 4 4 4 4 4 4 4 4   | 0        | 300  | 300  |
      | 4 4 4 4 4 4 4 4 4 4   | 2        | 300  | 300  |
      | 4 4 4 4 4 4 4 4 4 4   | 3        | 600  | 600  |
      | 4 4 4 4 4 4 4 4 4 4   | 8        | 2600 | 2600 |
      | 330 330 330           | 0        | 2600 | 2600 |
      | 330 4 4 4 4 4 4 4 4 4 | 0        | 300  | 400  |
