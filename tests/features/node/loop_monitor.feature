Feature: The event loop's delays bound how long a signal may have waited

  Scenario Outline: A signal that is handled after a delay may have waited
    Guards against a shutdown that counts its time from the end of a suspension,
    or that is shortened without a delay.
    Given an event loop that ran at <times> s
    Then an event that is handled at <handled> s may have waited for <wait> s

    Examples:
      | times                       | handled | wait |
      | 100.00                      | 100.10  | 0    |
      | 100.00 100.25 100.50        | 100.60  | 0    |
      | 100.00 100.25 100.70        | 101.10  | 0    |
      | 100.00 100.25               | 102.00  | 1.75 |
      | 100.00 100.25 102.00        | 102.01  | 1.76 |
      | 100.00 100.25 102.00        | 102.20  | 1.95 |
      | 100.00 100.25 102.00 102.25 | 102.30  | 0    |
