Feature: The HTTP server rejects invalid input and keeps serving

  Scenario Outline: An invalid request gets an error status
    Guards against invalid input that ends the process or gets no response.
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

  Scenario: A draining server completes its requests and closes connections
    Guards against a graceful shutdown that aborts requests.
    Given an HTTP server with small limits
    When the server drains while it answers a request
    Then the request gets its complete response
    And the connection is closed after it

  Scenario: A late response is not read as the response to the next request
    Guards against responses that reach the wrong caller.
    Given an HTTP server with small limits
    When an exchange times out before its response arrives
    Then the next exchange on the pool gets its own response

  Scenario: A draining server answers all requests that it has read
    Guards against a request that was read behind another one and gets no
    response when the connection closes.
    Given an HTTP server with small limits
    When the server drains while two requests of a connection are in progress
    Then both requests get their complete response

  Scenario: A client that sends no more data still gets its response
    Guards against a request without a response, if the client closes its side
    of the connection after the request.
    Given an HTTP server with small limits
    When a slow request ends the data of its client
    Then the request gets its complete response

  Scenario Outline: A request behind others is rejected after their responses
    Guards against a rejection that the client reads as the response to an
    earlier request, which may have been carried out.
    Given an HTTP server with small limits
    When a slow request is followed by <input>
    Then it gets the complete response and then <status>

    Examples:
      | input             | status |
      | garbage           | 400    |
      | large headers     | 431    |
      | a large body      | 413    |
      | too many requests | 429    |

  Scenario: A request that has arrived when the last answers are sent is answered
    Guards against a request that is cut off since the event loop had no time to
    read it before the process ends.
    Given an HTTP server with small limits
    When a slow request has arrived unread and the server ends
    Then the request is answered with 503

  Scenario: A connection on which a request has arrived is not closed as idle
    Guards against a request that is cut off since the event loop was busy when
    it arrived.
    Given an HTTP server with small limits
    When a request arrives unread on a connection that was idle for too long
    Then the request gets its response

  Scenario: A server that has closed handles no request
    Guards against a request that is read while the process ends, if its
    connection was being accepted when the server closed.
    Given an HTTP server with small limits
    When the server closes at each stage of accepting a connection
    Then no request was handled after the server had closed

  Scenario: An address that cannot exist fails like an unreachable one
    Guards against one stored address that ends every leadership.
    When a client connects to "127.0.0.1:70000"
    Then the connection fails and nothing was sent
