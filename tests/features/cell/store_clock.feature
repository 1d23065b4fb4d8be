Feature: The time of the store's answers is known on the clock of an instance

  Scenario: A held answer is dated by the time that it states
    Guards against a configuration that seems a second older than it is.
    Given a call that was sent at 10.00 s, answered at 10.04 s and stated 5000 ms
    When a call was sent at 10.10 s, answered at 11.14 s and stated 6120 ms
    Then the store answered at 11.09 s or later, and by 11.14 s

  Scenario Outline: An answer never seems later than it can have been given
    Guards against answering requests by a configuration that is too old.
    Given a call that was sent at 10.00 s, answered at 10.04 s and stated <first> ms
    When a call was sent at 10.10 s, answered at 11.14 s and stated <second> ms
    Then the store answered at <earliest> s or later, and by <latest> s

    Examples:
      | case                          | first | second | earliest | latest |
      | the answer took most time     | 5000  | 5110   | 10.10    | 10.11  |
      | the store's clock was set back | 5000 | 100    | 10.10    | 10.10  |
      | the store's clock jumped ahead | 5000 | 9000   | 10.10    | 10.10  |
      | the comparison is too old     | 5000  | 25000  | 10.10    | 10.10  |
