Feature: The network stand-ins delay, count, cut and balance traffic

  Guards against stand-ins that are more forgiving than a real network, with
  which tests would not detect partitions or interrupted callers.

  Scenario: A link delays, limits and counts the bytes of each direction
    Given a stand-in table behind a link of 30 ms and 1 Mbit/s
    When a row of 20000 bytes is written and read over the link
    Then the exchange over the link took at least 400 ms
    And the link counted at least 20000 bytes in each direction
    And the link counted the same bytes for the purpose of the route

  Scenario: A cut link forwards nothing and later closes connections
    Given a stand-in table behind a link of 1 ms and 100 Mbit/s
    When the link is cut
    Then a request over the link fails and does not reach the table
    When the link is healed
    Then a request over the link is answered

  Scenario: A balancer uses only live entry instances that are ready
    Given a stand-in balancer over a ready, a leaving and a dead entry
    Then 4 callers of the balancer get the response of the ready entry
    And the balancer recorded no interruption

  Scenario: A balancer records a response that an entry instance cut short
    Given a stand-in balancer over a ready, a leaving and a dead entry
    When the ready entry cuts a response short
    Then the balancer recorded an interruption by the ready entry

  Scenario: A caller that closes its connection is not an interruption
    Given a stand-in balancer over a ready, a leaving and a dead entry
    When a caller of the balancer closes before the response
    Then the balancer recorded no interruption
