Feature: What is done about clients at a limit is counted and logged

  Scenario: A source has one line for each limit in a while
    Guards against a client that fills the log.
    Given a log of limits
    When each of 3 sources reaches a limit 100 times
    Then 3 lines are logged and 300 rejections are counted
    And a line after 6 s says that 99 were left out
