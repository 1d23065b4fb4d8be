Feature: An HTTP server keeps serving beside clients that hold all they can

  Scenario: No request is handled for a client that reads no responses
    Guards against responses that are stored however much is still unsent.
    Given a server with large responses and at most 10 connections
    When a client sends 200 requests one by one and reads nothing
    Then at most 60 of them were handled
    And the connection is aborted 11 s after the client has stopped reading
    And another client of the server is served

  Scenario: A client that reads slowly gets all its responses
    Guards against responses that are lost or late since nothing continues after
    a pause of writing.
    Given a server with large responses and at most 10 connections
    When a client sends 200 requests one by one and then reads
    Then it gets 200 responses

  Scenario: A closing connection that does not drain is aborted
    Guards against connections that hold memory after they were rejected.
    Given a server with large responses and at most 10 connections
    When a client sends 30 requests one by one and then garbage
    Then the connection is aborted 6 s after it was closed

  Scenario: A request in progress keeps its connection
    Guards against clients that end the requests of others by opening
    connections or sending parts of requests.
    Given a server with large responses and at most 10 connections
    When a slow request is being answered while 30 clients connect
    Then the slow request gets its response
    And at most 10 connections are open

  Scenario: A client is refused if all others have requests in progress
    Guards against a client that waits for a response that never comes.
    Given a server with large responses and at most 10 connections
    When a client connects beside 10 slow requests
    Then it is refused with 503 and may retry after 1 s
    And each slow request gets its response

  Scenario: Unfinished requests are dropped for want of memory
    Guards against clients that hold more memory together than the process has.
    Given a server with large responses and at most 10 connections
    When 8 clients send 200000 bytes of a body
    Then the connections hold at most 1000000 bytes
    And another client of the server is served

  Scenario: Ordinary callers in any number are not limited
    Guards against limits that ordinary service reaches.
    Given a server with the default limits of a process
    When 300 callers send a body of 12000 bytes each and keep their connections
    Then each of them is served twice on its connection

  Scenario: What arrived while reading was paused is answered at the end
    Guards against requests without a response when the process ends, since
    reading pauses behind a request that is being answered.
    Given a server with large responses and at most 10 connections
    When the server ends while 30 requests and a large body wait on a connection
    Then the client gets 31 responses with 503 and the connection closes

  Scenario: A request whose client is gone counts until it has been handled
    Guards against any number of requests of clients that disconnect after each.
    Given a server with large responses and at most 10 connections
    When 30 clients each send a slow request and disconnect
    Then at most 10 of them were handled

  Scenario: Requests that are sent at once leave other connections their turn
    Guards against a process that stands still while it answers one client.
    Given a server with large responses and at most 10 connections
    When a client sends 16 requests at once beside a task of the event loop
    Then the task had its turn at least 15 times before the last one

  Scenario: A draining server answers what arrived while reading was paused
    Guards against a connection that is closed after the requests that were
    read, although others have arrived.
    Given a server with large responses and at most 10 connections
    When the server drains while 30 requests and a large body wait unread
    Then the client gets 32 responses with 200 and the connection closes

  Scenario: Reading does not pause for a large body alone
    Guards against large requests that take many times as long.
    Given a server with large responses and at most 10 connections
    When a caller sends a body of 200000 bytes on a connection twice
    Then its connection has never paused reading
