Feature: During outages of the platform calls fail fast and state is kept

  Scenario: During an outage calls are rejected without being sent
    Given a platform with a table service in memory
    And the table service is stopped
    When 50 rows are read one after another
    Then every read fails with "store-unavailable"
    And the table service is known to be down

  Scenario: Only two calls time out when the table service never answers
    Given a platform with a table service in memory and timeouts of 200 ms
    And the table service never answers
    When 50 rows are read one after another
    Then every read fails with "store-unavailable"
    And at most 2 reads arrived

  Scenario: The table service is used again after it recovers
    Given a platform with a table service in memory
    And an observer of the platform
    And the table service is stopped
    When 50 rows are read one after another
    And the observer samples the platform
    And the table service starts again
    Then reads succeed again after background probes
    And the outage and the recovery of the table service are recorded

  Scenario Outline: A write that may have been sent is never retried
    Given a platform with a table service in memory
    And the connection was used before and breaks on "<method>" requests
    When an object is written with "<method>"
    Then the write fails with "store-outcome-unknown"
    And exactly 1 "<method>" request arrived

    Examples:
      | method |
      | PUT    |
      | DELETE |

  Scenario: A late answer is never matched to the next read
    Given a platform with a table service in memory and timeouts of 200 ms
    When a read of "row/a" times out on a reused connection
    And the late answer arrives before "row/b" is read
    Then the read of "row/b" returns the value of "row/b"

  Scenario: An unchanged instance list is not sent again
    Guards against sending the whole list over the link every second.
    Given a platform with a table service in memory
    And an instance list with an entry instance and a worker was read
    When the unchanged instance list is read 3 more times
    Then the whole instance list was sent once
    And the list still has the entry instance and the worker

  Scenario Outline: The last valid instance list is kept
    Given a platform with a table service in memory
    And an instance list with an entry instance and a worker was read
    When the instance list becomes "<fault>"
    Then the list still has the entry instance and the worker

    Examples:
      | fault       |
      | unreachable |
      | empty       |
      | malformed   |

  Scenario: An unchanged instance list is not sent and not read again
    # Guards against a list of 19,000 instances sent and parsed every second.
    Given a platform with a table service in memory
    And an instance list with 400 instances in 4 zones was read
    When the instance list is read 20 times more
    Then 20 reads of the list were answered without its content

  Scenario: A changed instance list is seen at the next read
    Given a platform with a table service in memory
    And an instance list with 400 instances in 4 zones was read
    When a worker of the list starts leaving and the list is read
    Then the instance list shows the worker as leaving

  Scenario: A service without entity tags still serves its list
    Given a platform with a table service in memory
    And the instance list is sent without entity tags
    And an instance list with an entry instance and a worker was read
    When the instance list is read 20 times more
    Then the list still has the entry instance and the worker

  Scenario: A query for one zone does not iterate over all instances
    # Guards against 30 scans of all instances a second.
    Given a platform with a table service in memory
    And an instance list with 400 instances in 4 zones was read
    Then 100 queries for the workers of a zone iterate over no instance
