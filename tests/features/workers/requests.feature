Feature: Requests on a worker run at most once and get their own complete answer
  Guards against silent retries, partial answers and answers of other requests.

  Scenario Outline: A request whose start was sent fails with the matching error
    Given a fleet that owns one scripted worker
    When a worker request meets the fault "<fault>"
    Then the worker request fails with "<error>"
    And the start arrived at the worker once

    Examples: The task may have run
      | fault                     | error           |
      | close before the answer   | outcome-unknown |
      | close after the first byte | outcome-unknown |
      | cut the headers           | outcome-unknown |
      | cut the body              | outcome-unknown |
      | cut a chunked body        | outcome-unknown |
      | send no length            | outcome-unknown |
      | answer another request    | outcome-unknown |
      | refuse for a new reason   | outcome-unknown |

    Examples: The worker guarantees that the task did not run
      | fault              | error          |
      | refuse stale-epoch | worker-refused |
      | refuse expired     | worker-refused |
      | refuse busy        | worker-refused |
      | refuse duplicate   | worker-refused |
      | refuse leaving     | worker-refused |
      | refuse stopped     | worker-refused |

  Scenario: A request on a stale pooled connection is not sent again
    Given a fleet that owns one scripted worker
    And a worker request was answered on a connection that stays open
    When a worker request meets the fault "close before the answer"
    Then the worker request fails with "outcome-unknown"
    And the start arrived at the worker once

  Scenario: The HTTP library does not repeat a GET on a stale pooled connection
    When a GET on a reused connection loses its answer
    Then the GET fails with "outcome-unknown" and arrived once

  Scenario: A pooled connection that the server closed is not used
    When the server closes an idle connection before the next exchange
    Then the next exchange succeeds on another connection

  Scenario: Nothing was sent if the connection failed
    When an exchange goes to a port on which nothing listens
    Then the exchange fails with "connect-failed"

  Scenario: A late answer is not mistaken for the answer to the next request
    Given a fleet that owns one scripted worker
    And a worker request was answered on a connection that stays open
    When a worker request is cancelled before its late answer
    Then the next worker requests get their own answers

  Scenario: A second answer to a request is not mistaken for the next answer
    Given a fleet that owns one scripted worker
    When a worker request meets the fault "answer twice"
    Then the next worker requests get their own answers

  Scenario: Answers that arrive out of order reach their own requests
    Given a fleet that owns one scripted worker
    Then 12 parallel worker requests with shuffled delays get their own answers
