Feature: The platform stand-ins follow the platform interface

  Each scenario guards against a store or list that is kinder than the real
  one: without conflicts, lost answers, outages or lag.

  Scenario: A transaction with a failed check changes nothing
    Given a stand-in table
    When the stand-in table commits "a" if it has version 0
    Then the stand-in table names "a" as failed when "a" must be new and "b" is put
    And the stand-in table has no row "b"
    And the stand-in table answers 304 for "a" with its version

  Scenario: Rows are scanned by prefix in pages
    Given a stand-in table
    When the stand-in table commits "jobs/1" if it has version 0
    And the stand-in table commits "jobs/2" if it has version 0
    And the stand-in table commits "kobs/3" if it has version 0
    Then the stand-in table scan of "jobs/" after "" is "jobs/1 jobs/2"
    And the stand-in table scan of "jobs/" after "jobs/1" is "jobs/2"

  Scenario: A lost answer means that the write took effect
    Given a stand-in table
    When the stand-in table loses 1 answer
    Then the stand-in table breaks the connection of a commit of "a"
    And the stand-in table has a row "a"

  Scenario: An outage refuses and ends
    Given a stand-in table
    When the stand-in table outage is "refuse"
    Then the stand-in table answers 503 for "a"
    When the stand-in table outage is "off"
    Then the stand-in table has no row "a"

  Scenario: A transaction has a bounded size
    Given a stand-in table
    Then the stand-in table refuses a transaction of 501 rows
    And the stand-in table has no row "many/0"

  Scenario: The list lags behind and each zone sees its own addresses
    Given a stand-in list of entry "e1" with a lag of 1500 ms
    Then zone "z1" of the stand-in list sees "e1" at "10.0.0.1:80" as "live"
    And zone "z2" of the stand-in list sees "e1" at "10.0.0.2:80" as "live"
    When the stand-in list learns that "e1" is "leaving"
    Then zone "z1" of the stand-in list sees "e1" at "10.0.0.1:80" as "live"
    When 1600 ms pass for the stand-in list
    Then zone "z1" of the stand-in list sees "e1" at "10.0.0.1:80" as "leaving"

  Scenario: Objects are kept, and lost in no way but by deletion
    Given a stand-in object store
    Then the stand-in object store returns what was put and forgets what was deleted
