Feature: What is stored of an unfinished request is bounded

  Scenario Outline: Input within the limits is read
    Guards against limits that reject ordinary requests.
    Given a reader of requests with heads of 1000 bytes and bodies of 60000
    When <input> arrives in parts of <size> bytes
    Then <count> requests were read and none is rejected

    Examples:
      | input                            | size  | count |
      | a request                        | 1     | 1     |
      | a request                        | 99999 | 1     |
      | a header of almost 1000 bytes    | 1     | 1     |
      | a header of almost 1000 bytes    | 99999 | 1     |
      | a body of 60000 bytes            | 7     | 1     |
      | a body of 60000 bytes            | 99999 | 1     |
      | 12000 bytes in chunks of 600     | 1     | 1     |
      | 12000 bytes in chunks of 600     | 99999 | 1     |
      | two requests with an empty line  | 1     | 2     |
      | two requests with an empty line  | 99999 | 2     |
      | 16 requests                      | 50    | 16    |

  Scenario Outline: Input without an end is rejected and forgotten
    Guards against bytes that are stored without a limit (heads and trailers of
    which an element never ends), and against clients that keep a process busy.
    Given a reader of requests with heads of 1000 bytes and bodies of 60000
    When <input> arrives in parts of <size> bytes until it is rejected
    Then the rejection is <status> for "<limit>" after at most <most> bytes
    And the reader holds nothing

    Examples:
      | input                     | size  | status | limit              | most  |
      | an endless header value   | 1     | 431    | header-bytes       | 9300  |
      | an endless header value   | 20000 | 431    | header-bytes       | 20100 |
      | an endless header name    | 700   | 431    | header-bytes       | 9300  |
      | an endless target         | 700   | 431    | header-bytes       | 9300  |
      | endless spaces            | 700   | 431    | header-bytes       | 9300  |
      | endless empty lines       | 700   | 431    | header-bytes       | 9300  |
      | endless empty lines       | 1     | 431    | header-bytes       | 9300  |
      | endless headers           | 700   | 431    | header-bytes       | 9300  |
      | endless empty headers     | 700   | 431    | header-count       | 9300  |
      | endless chunk extensions  | 700   | 431    | framing-bytes      | 9300  |
      | endless small chunks      | 1     | 431    | framing-bytes      | 9300  |
      | endless small chunks      | 700   | 431    | framing-bytes      | 9300  |
      | an endless trailer        | 700   | 431    | framing-bytes      | 9300  |
      | endless trailers          | 700   | 431    | framing-bytes      | 9300  |
      | an endless body           | 700   | 413    | body-bytes         | 66000 |
      | endless requests          | 700   | 429    | pipelined-requests | 9300  |

  Scenario: A trailer is not a header
    Guards against a trailer that replaces a header that was checked.
    Given a reader of requests with heads of 1000 bytes and bodies of 60000
    When a chunked request with a trailer "Authorization" arrives
    Then its headers are those before its body

  Scenario: The start of a request behind a complete one has a time limit
    Guards against a half request that is taken for an idle connection, if it
    arrives together with the end of the request before it.
    Given a reader of requests with heads of 1000 bytes and bodies of 60000
    When a request and a half arrive at once
    Then 1 requests were read and none is rejected
    And a request is being read
