Feature: No client ends a process or makes it hold more than it has

  The bounds and the clients of these scenarios are fixed. Each scenario starts
  one process with lowered limits in its settings and sends at most 64 MB on at
  most 16 connections; only the last ones open more.

  Scenario Outline: A client cannot make a process grow
    Guards against a process that runs out of memory since it stores what a
    client sends without a limit.
    Given a process with 64 MB of memory and 1000 descriptors
    When hostile clients send <input>
    Then the process runs with at most 48 MB and 1000 descriptors
    And each response to them beyond the first is a refusal
    And an ordinary request is answered

    Examples:
      | input                                                      |
      | an unending header value                                   |
      | an unending header name                                    |
      | an unending request target                                 |
      | heads over the limit                                       |
      | heads of many different headers                            |
      | unending heads behind a request                            |
      | unending heads behind a request that is being answered     |
      | endless empty lines                                        |
      | endless empty lines behind a request that is being answered |
      | bodies of one-byte chunks                                  |
      | endless chunk extensions                                   |
      | endless trailers                                           |
      | an unending trailer                                        |

  Scenario: Many requests behind one that is being answered
    Guards against requests that are stored without a limit while an earlier one
    is answered.
    Given a process with 64 MB of memory and 1000 descriptors
    When hostile clients send requests behind a request that is being answered
    Then the process runs with at most 48 MB and 1000 descriptors
    And an ordinary request is answered

  Scenario Outline: Responses that no client reads
    Guards against a process that runs out of memory since it writes responses
    however much is still unsent.
    Given a process with 64 MB of memory and 1000 descriptors
    When hostile clients of its address for <kind> leave <count> responses unread
    Then the process runs with at most 48 MB and 1000 descriptors
    And an ordinary request is answered

    Examples:
      | kind      | count  |
      | callers   | 480000 |
      | readiness | 24000  |
      | peers     | 24000  |
      | metrics   | 6000   |

  Scenario Outline: More connections than the process has descriptors
    Guards against a process without descriptors for callers, the store and
    workers.
    Given a process with 64 MB of memory and 400 descriptors
    When hostile clients of its address for <kind> open 600 connections
    Then the process runs with at most 48 MB and 300 descriptors
    And an ordinary request is answered

    Examples:
      | kind      |
      | callers   |
      | readiness |
      | peers     |
      | metrics   |
