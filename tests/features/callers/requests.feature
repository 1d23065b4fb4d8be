Feature: Callers get complete responses and accurate error reports
  Guards against truncated responses, work that runs for the wrong team and
  input of unlimited size.

  Scenario: A large response is passed through completely
    Given a callers API over 1 scripted worker
    When a caller sends a request of 300000 bytes
    Then the caller gets status 200 and the complete response to its request

  Scenario: Repeated headers are passed through
    Given a callers API over 1 scripted worker
    When a caller sends a request to a worker with the fault "repeat headers"
    Then the caller gets both values of each repeated header

  Scenario Outline: A truncated worker response never reaches the caller
    Given a callers API over 1 scripted worker
    When a caller sends a request to a worker with the fault "<fault>"
    Then the caller gets status 502 with code "outcome-unknown" and ran "unknown"

    Examples:
      | fault              |
      | cut the body       |
      | cut a chunked body |
      | send no length     |

  Scenario Outline: Invalid input is rejected before any work runs
    Given a callers API over 1 scripted worker
    When a caller sends an invalid request with <fault>
    Then the caller gets status <status> with code "<code>" and ran "no"
    And the worker received no start message

    Examples:
      | fault              | status | code            |
      | no key             | 401    | key-invalid     |
      | an unknown queue   | 404    | not-found       |
      | a bad deadline     | 400    | request-invalid |
      | a bad flag         | 400    | request-invalid |
      | a long key         | 400    | request-invalid |
      | a large body       | 413    | body-too-large  |
      | a large chunked body | 413  | body-too-large  |
      | an unknown method  | 405    | not-found       |
      | an unknown path    | 404    | not-found       |

  Scenario: An open queue needs no key
    Given a callers API over 1 scripted worker
    When a caller without a key sends a request to the open queue
    Then the caller gets status 200 and the complete response to its request

  Scenario: Concurrent callers get the responses to their own requests
    Given a callers API over 1 scripted worker
    Then 40 concurrent callers get the responses to their own requests

  Scenario: A replayed response is marked as replayed
    Given a callers API over 1 scripted worker
    When a caller repeats a request with an idempotency key
    Then the caller gets the recorded response and the work ran once

  Scenario: The readiness check reports the state of the instance
    Given a callers API over 1 scripted worker
    Then healthz responds with 200, and readyz with 200 or 503 by readiness

  Scenario: Jobs are submitted, shown and cancelled by their team only
    Given a callers API over 1 scripted worker
    Then a job goes through submission, status and cancellation
    And another team can neither read nor cancel the job
    And cancelling 3000 jobs takes one call

  Scenario: A malformed job is rejected with all of its errors
    Given a callers API over 1 scripted worker
    When a caller submits a job with bad fields
    Then the caller gets status 400 with code "request-invalid" and ran "no"
    And the error names the fields "tasks, resources.slots, colour"
