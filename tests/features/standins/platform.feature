Feature: The platform stand-ins follow the platform interface

  Guards against a store or an instance list that is more forgiving than the
  real one: without conflicts, lost responses, outages or lag.

  Scenario: A transaction with a failed check changes nothing
    Given a stand-in table
    When the stand-in table commits "a" if it has version 0
    Then the stand-in table reports a failed check of "a" when "a" must be new and "b" is put
    And the stand-in table has no row "b"
    And the stand-in table answers 304 for "a" with its version

  Scenario: Rows are scanned by prefix in pages
    Given a stand-in table
    When the stand-in table commits "jobs/1" if it has version 0
    And the stand-in table commits "jobs/2" if it has version 0
    And the stand-in table commits "kobs/3" if it has version 0
    Then the stand-in table scan of "jobs/" after "" is "jobs/1 jobs/2"
    And the stand-in table scan of "jobs/" after "jobs/1" is "jobs/2"

  Scenario: A write whose response is lost has taken effect
    Given a stand-in table
    When the stand-in table withholds 1 response
    Then the stand-in table closes the connection of a commit of "a"
    And the stand-in table has a row "a"

  Scenario: A store refuses requests until the outage ends
    Given a stand-in table
    When the stand-in table outage is "refuse"
    Then the stand-in table answers 503 for "a"
    When the stand-in table outage is "off"
    Then the stand-in table has no row "a"

  Scenario: A transaction with too many rows is refused
    Given a stand-in table
    Then the stand-in table refuses a transaction of 501 rows
    And the stand-in table has no row "many/0"

  Scenario: The list shows changes late and each zone its own addresses
    Given a stand-in list of entry "e1" with a lag of 1500 ms
    Then zone "z1" of the stand-in list sees "e1" at "10.0.0.1:80" as "live"
    And zone "z2" of the stand-in list sees "e1" at "10.0.0.2:80" as "live"
    When "e1" of the stand-in list becomes "leaving"
    Then zone "z1" of the stand-in list sees "e1" at "10.0.0.1:80" as "live"
    When 1600 ms pass for the stand-in list
    Then zone "z1" of the stand-in list sees "e1" at "10.0.0.1:80" as "leaving"

  Scenario: Objects are stored until they are deleted
    Given a stand-in object store
    Then the stand-in object store returns stored objects until they are deleted
