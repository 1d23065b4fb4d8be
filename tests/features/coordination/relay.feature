Feature: Configuration and withdrawn keys reach every instance

  Scenario: A version adopted anywhere reaches all instances of all zones
    Given instances "e1, e2, f1, f2" of two zones with their own configuration
    When "e2" adopts version 1
    Then within 3 s "e1, e2, f1, f2" have version 1 in force
    And "f2" reports version 1 in force in both zones

  Scenario: A partitioned zone catches up
    Given instances "e1, e2, f1, f2" of two zones with their own configuration
    When the zone of "f1" is partitioned and "e1" adopts versions 1 to 5
    Then after 5 s "f1, f2" have version 0 in force
    And "e2" does not report version 5 in force in the partitioned zone
    When the partition between the zones heals
    Then within 5 s "e1, e2, f1, f2" have version 5 in force

  Scenario: A withdrawn key is refused everywhere and confirmed by zone
    Given instances "e1, e2, f1, f2" of two zones with their own configuration
    When key "k1" is withdrawn at "e2"
    Then within 3 s "e1, e2, f1, f2" refuse key "k1"
    And "e2" reports key "k1" as refused in both zones

  Scenario: A withdrawn key is not confirmed for a partitioned zone
    Given instances "e1, e2, f1, f2" of two zones with their own configuration
    When the zone of "f1" is partitioned and key "k1" is withdrawn at "e2"
    Then "e2" reports key "k1" as refused only in its own zone
    When the partition between the zones heals
    Then within 5 s "e1, e2, f1, f2" refuse key "k1"

  Scenario: A starting instance fetches versions and withdrawn keys from peers
    Given instances "e1, e2, f1, f2" of two zones with their own configuration
    When "e1" adopts version 1
    And key "k1" is withdrawn at "e2"
    Then "e2" can fetch version 1 and key "k1" from its peers
