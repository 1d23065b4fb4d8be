Feature: Callers get whole answers and truthful refusals
  Guards against partial answers, work for the wrong team and unbounded input.

  Scenario: The complete answer is passed through
    Given a callers API over 1 scripted worker
    When a caller sends a request of 300000 bytes
    Then the caller gets status 200 and its own whole answer

  Scenario: Repeated headers are passed through
    Given a callers API over 1 scripted worker
    When a caller's request meets the worker fault "repeat headers"
    Then the caller gets both values of each repeated header

  Scenario Outline: A cut worker answer never reaches the caller
    Given a callers API over 1 scripted worker
    When a caller's request meets the worker fault "<fault>"
    Then the caller gets status 502 with code "outcome-unknown" and ran "unknown"

    Examples:
      | fault              |
      | cut the body       |
      | cut a chunked body |
      | send no length     |

  Scenario Outline: Bad input is refused before anything runs
    Given a callers API over 1 scripted worker
    When a caller makes the mistake of <fault>
    Then the caller gets status <status> with code "<code>" and ran "no"
    And no start arrived for the caller

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
    Then the caller gets status 200 and its own whole answer

  Scenario: Many callers get their own answers in any order
    Given a callers API over 1 scripted worker
    Then 40 concurrent callers get their own answers

  Scenario: A replayed answer says so
    Given a callers API over 1 scripted worker
    When a caller repeats a request with an idempotency key
    Then the caller gets the recorded answer and the work ran once

  Scenario: Readiness follows the instance
    Given a callers API over 1 scripted worker
    Then healthz answers 200, and readyz 200 or 503 as the instance says

  Scenario: Jobs are submitted, shown and cancelled by their team only
    Given a callers API over 1 scripted worker
    Then a job goes through submission, status and cancellation
    And another team neither sees nor cancels the job
    And a mass cancel of 3000 jobs is one call

  Scenario: A malformed job is refused with all faults
    Given a callers API over 1 scripted worker
    When a caller submits a job with bad fields
    Then the caller gets status 400 with code "request-invalid" and ran "no"
    And the refusal names the fields "tasks, resources.slots, colour"
